//! The control plane of a gateway, for programs that run many gateways in one process.
//!
//! It consists of the parts that follow the event bus, the fleet and the shared configuration, and
//! pass their changes to the decisions. Scale tests run these parts without client and engine
//! connections, and create them with the constructors that `serve` uses.

pub use crate::clock::Clock;
pub use crate::config::{Config, ConfigTextError, InitialEvents, NameTable, Overrides};
pub use crate::discovery::{
    DiscoveryClient, DiscoverySource, DiscoveryTraffic, EngineIds, ListRetention,
};
pub use crate::dispatch::Dispatch;
pub use crate::exchange::{Attempt, CancelOutcome, ListedEngine, UpstreamEngines};
pub use crate::fence::Fence;
pub use crate::fleet::{FleetMembership, FleetStartError, FleetTraffic};
pub use crate::replication::{ClusterSubscriber, ControlTargets};

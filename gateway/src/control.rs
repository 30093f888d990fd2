//! The control plane of a gateway, for programs that run many in one process.
//!
//! These are the parts that follow the event bus, the fleet and the shared configuration, and feed
//! the decisions with them. Scale tests run them without client and engine connections; they use
//! the constructors that `serve` uses.

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

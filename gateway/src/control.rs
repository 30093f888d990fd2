//! The control plane of a front end: the parts that follow the event bus, the fleet and the agreed state, and feed the
//! decisions with them. Scale tests run many of them in one process, without client and engine connections; they use
//! the constructors that `serve` uses.

pub use crate::clock::Clock;
pub use crate::config::{Config, NameTable};
pub use crate::discovery::{DiscoveryClient, DiscoverySource, EngineIds};
pub use crate::dispatch::Dispatch;
pub use crate::exchange::{Attempt, ListedEngine, UpstreamEngines};
pub use crate::fence::Fence;
pub use crate::fleet::Fleet;
pub use crate::replication::{ClusterSubscriber, ControlTargets};

//! Runs [`violetgate_membership`] on a UDP socket: sends and receives its datagrams and ticks it
//! every 50 ms.
//!
//! This crate only does the I/O; the membership core decides which members are alive. Sending never
//! waits for the socket: a datagram that the socket doesn't accept at once is dropped, which the
//! protocol tolerates like any other lost datagram.
//!
//! ```no_run
//! use std::time::Instant;
//! use violetgate_membership::{FleetSizeConfig, Identity, MembershipConfig};
//! use violetgate_membership_udp::{MembershipNode, Options};
//!
//! let executor = async_executor::LocalExecutor::new();
//! let options = Options {
//!     fleet: "lahore".to_owned(),
//!     identity: Identity {
//!         name: "gateway-1".into(),
//!         addr: ([10, 0, 0, 1], 7_946).into(),
//!         incarnation: 1_700_000_000_000_000,
//!     },
//!     listen: ([0, 0, 0, 0], 7_946).into(),
//!     seeds: vec![([10, 0, 0, 2], 7_946).into()],
//!     config: MembershipConfig::default(),
//!     fleet_size: FleetSizeConfig {
//!         configured_size: 3,
//!         settle_time: 10_000_000,
//!         step_interval: 2_000_000,
//!     },
//!     rng_seed: 42,
//! };
//! let start = Instant::now();
//! let clock = Box::new(move || start.elapsed().as_micros() as u64);
//! let on_event = Box::new(|event| println!("{event:?}"));
//! let node = MembershipNode::start(&executor, options, clock, on_event)?;
//! println!("{} gateways", node.fleet_size());
//! # Ok::<(), violetgate_membership_udp::StartError>(())
//! ```

mod counters;
pub mod datagram;
mod node;
mod rejection_log;

pub use counters::DatagramCounters;
pub use node::{MembershipEvent, MembershipNode, Options, StartError};
pub use rejection_log::RejectionReason;

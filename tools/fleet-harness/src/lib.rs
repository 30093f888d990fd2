//! Runs a fleet of real gateway processes on loopback, with fake engines behind them and a relay
//! between them that injects faults. Processes can be paused, killed and restarted.
//!
//! The harness reads the state of a process from that process's own metrics and log.
//!
//! ```no_run
//! use std::path::Path;
//! use std::time::Duration;
//! use violetgate_fleet_harness::{FleetHarness, LinkFaults, ObservedState};
//!
//! let mut fleet = FleetHarness::start(Path::new("target/release/violetgate"), 4, 1, "")?;
//! fleet.relay.set_all(LinkFaults { loss: 0.2, ..LinkFaults::default() });
//! fleet.processes[3].kill();
//! let detected = fleet.wait_until(Duration::from_secs(10), |fleet| {
//!     fleet.all_observe(&[0, 1, 2], 3, ObservedState::Dead)
//! });
//! assert!(detected.is_some());
//! # Ok::<(), std::io::Error>(())
//! ```

mod harness;
mod process;
mod relay;

pub use harness::FleetHarness;
pub use process::{GatewayProcess, ObservedState};
pub use relay::{LinkFaults, Relay};

//! Simulates a fleet: members run the real [`violetgate_membership`] code, while the network and
//! the clock are simulated and deterministic for a seed.
//!
//! The network loses and delays messages; processes pause, die, leave and restart; links are cut
//! in one or both directions. The simulator records the changes in each member's view, and knows
//! which members really run. It makes no decisions for a member.
//!
//! ```
//! use violetgate_membership::MembershipConfig;
//! use violetgate_simulator::{FaultPlan, MemberEvent, World, SECOND};
//!
//! let deaths = vec![MemberEvent { member: 4, at: 10 * SECOND }];
//! let faults = FaultPlan { deaths, ..FaultPlan::default() };
//! let mut world = World::new(8, 1, &MembershipConfig::default(), faults);
//! world.run(9 * SECOND)?;
//! assert_eq!(world.serving_count(0), 8);
//! world.run(16 * SECOND)?;
//! assert_eq!(world.serving_count(0), 7);
//! # Ok::<(), violetgate_membership::InvalidMessage>(())
//! ```

mod agreement;
mod cpu_time;
mod event_queue;
mod faults;
pub mod load;
mod naming;
mod records;
mod world;

pub use faults::{Cut, FaultPlan, MemberEvent, Pause};
pub use naming::{member_name, member_number};
pub use records::{LinkChange, Traffic, ViewChange};
pub use world::World;

use violetgate_membership::Micros;

/// One second of simulated time, in microseconds.
pub const SECOND: Micros = 1_000_000;

//! A simulated fleet: real members ([`violetgate_membership`]) in a simulated network and time,
//! from a seed.
//!
//! The network loses and delays messages; processes pause, die, leave and restart; links are cut
//! one way or both. The simulator records what each view reports and knows what is true. It never
//! decides anything for a member.
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

/// A second, in microseconds.
pub const SECOND: Micros = 1_000_000;

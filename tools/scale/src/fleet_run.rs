//! The fleet run (`whole-run` on the command line): real control processes, real gateways in front
//! of fake engines, and lightweight gateways, on loopback.
//!
//! Changes go on throughout, while observers and the leader are killed and a zone's gateways come
//! back at once.

mod api_client;
mod change_maker;
mod control_plane;
mod error;
mod files;
mod fleet_monitor;
mod layout;
mod lightweight_processes;
mod phases;
mod plan;
pub mod propagation;
mod real_gateways;

pub use error::FleetRunError;
pub use plan::Plan;

use crate::figures::{Figures, Options};

/// Runs the plan of a form, and adds its figures, held to their bounds.
///
/// # Errors
///
/// The run can't be set up, or one of its processes ends before its time.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), FleetRunError> {
    run(&Plan::from_options(options), figures)
}

/// Runs a plan, and adds its figures, held to their bounds.
///
/// # Errors
///
/// The run can't be set up, or one of its processes ends before its time.
pub fn run(plan: &Plan, figures: &mut Figures) -> Result<(), FleetRunError> {
    phases::Run::start(plan)?.measure(figures)
}

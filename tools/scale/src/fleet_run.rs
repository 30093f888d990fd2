//! The fleet run (`whole-run` on the command line): real control processes, real gateways in front
//! of fake engines, and lightweight gateways, on loopback.
//!
//! Changes are made throughout the run, also while an observer and the leader are killed and while
//! all gateways of a zone restart at once.

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

/// Runs the plan that the options select, adds its figures and checks them against their bounds.
///
/// # Errors
///
/// Returns an error if the run can't be set up, if one of its processes ends early, or if the
/// gateways do not serve in time.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), FleetRunError> {
    run(&Plan::from_options(options), figures)
}

/// Runs a plan, adds its figures and checks them against their bounds.
///
/// # Errors
///
/// Returns an error if the run can't be set up, if one of its processes ends early, or if the
/// gateways do not serve in time.
pub fn run(plan: &Plan, figures: &mut Figures) -> Result<(), FleetRunError> {
    phases::Run::start(plan)?.measure(figures)
}

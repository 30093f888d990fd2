//! Measures what membership costs by the size of the fleet. Each member runs the real membership
//! core, in a simulated network.

use std::time::Duration;

use thiserror::Error;
use violetgate_membership::MembershipConfig;
use violetgate_simulator::load::{simulate, Case, Load};

use crate::figures::{Figures, Options};

/// Fleet sizes of the short form.
const SHORT_SIZES: [usize; 2] = [100, 300];
/// Fleet sizes of the long form. Sizes above [`MembershipConfig::max_members`], the core's limit,
/// are skipped.
const SIZES: [usize; 5] = [300, 600, 1_000, 2_000, 4_000];
/// Cases of the short form: those that are simulated quickly.
const SHORT_CASES: [Case; 2] = [Case::Rest, Case::Start];
/// How long a case of the long form may run, in real time. A case that takes longer is ended and
/// reported as cut short.
const TIME_LIMIT: Duration = Duration::from_secs(60);
/// How long a case of the short form may run, in real time. It is far more than a case needs, so
/// that no case is cut short and its counts do not vary.
const SHORT_TIME_LIMIT: Duration = Duration::from_secs(120);
/// The maximum rate at which a member may send in a quiet fleet of any size.
const MAX_REST_BYTES_PER_S: f64 = 1_000.0;

/// The reason that membership could not be measured.
#[derive(Debug, Error)]
pub enum MembershipError {
    /// The core's limit on members is below every size to measure.
    #[error("the membership's limit of {0} members is below every size to measure: raise `MembershipConfig::max_members`")]
    NoSize(usize),
}

/// Measures all cases at all sizes.
///
/// # Errors
///
/// Returns an error if every size is above the core's limit on members.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), MembershipError> {
    let config = MembershipConfig::default();
    let fits = |size: &usize| *size <= config.max_members;
    let all: &[usize] = options.select(&SHORT_SIZES, &SIZES);
    let sizes: Vec<usize> = all.iter().copied().filter(fits).collect();
    if sizes.is_empty() {
        return Err(MembershipError::NoSize(config.max_members));
    }
    let cases: &[Case] = options.select(&SHORT_CASES, &Case::ALL);
    let time_limit = options.select(SHORT_TIME_LIMIT, TIME_LIMIT);
    for size in sizes {
        for case in cases {
            let load = simulate(*case, size, &config, options.seed, time_limit);
            add_figures(*case, size, &load, options, figures);
        }
    }
    Ok(())
}

fn add_figures(case: Case, size: usize, load: &Load, options: &Options, figures: &mut Figures) {
    let name = |unit: &str| format!("membership_{}_{size}_{unit}", case.name());
    let bound = if case == Case::Rest {
        MAX_REST_BYTES_PER_S
    } else {
        f64::INFINITY
    };
    figures.at_most(&name("bytes_per_s"), load.bytes_per_s, bound);
    figures.add_number(&name("busiest_bytes_per_s"), load.busiest_bytes_per_s);
    figures.add_number(&name("peak_bytes_per_s"), load.peak_bytes_per_s);
    figures.add_number(&name("messages_per_s"), load.messages_per_s);
    figures.add(&name("false_declarations"), load.false_declarations);
    match load.known_s {
        Some(known) => figures.add_number(&name("known_s"), known),
        None => figures.add(&name("known_s"), "none"),
    }
    if !options.short {
        figures.add_number(&name("cpu_us_per_s"), load.cpu_us_per_s);
        figures.add(&name("memory_bytes"), load.memory_bytes);
    }
    if load.cut_short {
        figures.add_number(&name("cut_short_at_s"), load.simulated_s);
    }
    // Members on the two sides of a network split declare each other dead. In all other cases, no
    // running member may be declared dead.
    let expects_none = case != Case::Halves;
    if expects_none && load.false_declarations > 0 {
        figures.add_failure(format!(
            "{}: {} running members were declared dead",
            name("false_declarations"),
            load.false_declarations
        ));
    }
    if case == Case::Start && load.known_s.is_none() && !load.cut_short {
        figures.add_failure(format!(
            "{}: the members of a fleet that started at once did not converge on one view",
            name("known_s")
        ));
    }
}

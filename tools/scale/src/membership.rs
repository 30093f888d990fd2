//! What membership costs by the size of the fleet: the real core of each member, in a simulated
//! network.

use std::time::Duration;

use thiserror::Error;
use violetgate_membership::MembershipConfig;
use violetgate_simulator::load::{simulate, Case, Load};

use crate::figures::{Figures, Options};

/// Sizes of the short form.
const SHORT_SIZES: [usize; 2] = [100, 300];
/// Sizes of the long form. The core knows at most [`MembershipConfig::max_members`] others; larger
/// sizes are skipped.
const SIZES: [usize; 5] = [300, 600, 1_000, 2_000, 4_000];
/// Cases of the short form: those that are soon played.
const SHORT_CASES: [Case; 2] = [Case::Rest, Case::Start];
/// How long a case of the long form may be played; what is longer is reported as cut short.
const LONGEST: Duration = Duration::from_secs(60);
/// How long a case of the short form may be played: enough on any machine, so that its counts stay
/// the same.
const LONGEST_SHORT: Duration = Duration::from_secs(120);
/// Bytes a second that a member may send in a quiet fleet, whatever its size.
const REST_BYTES_PER_S: f64 = 1_000.0;

/// Why membership could not be measured.
#[derive(Debug, Error)]
pub enum MembershipError {
    /// The limit of members is under every size to measure.
    #[error("the membership's limit of {0} members is under every size to measure: raise `MembershipConfig::max_members`")]
    NoSize(usize),
}

/// Measures all cases at all sizes.
///
/// # Errors
///
/// There is no size that the core takes.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), MembershipError> {
    let config = MembershipConfig::default();
    let fits = |size: &usize| *size <= config.max_members;
    let all: &[usize] = options.select(&SHORT_SIZES, &SIZES);
    let sizes: Vec<usize> = all.iter().copied().filter(fits).collect();
    if sizes.is_empty() {
        return Err(MembershipError::NoSize(config.max_members));
    }
    let cases: &[Case] = options.select(&SHORT_CASES, &Case::ALL);
    let longest = options.select(LONGEST_SHORT, LONGEST);
    for size in sizes {
        for case in cases {
            let load = simulate(*case, size, &config, options.seed, longest);
            report(*case, size, &load, options, figures);
        }
    }
    Ok(())
}

fn report(case: Case, size: usize, load: &Load, options: &Options, figures: &mut Figures) {
    let name = |unit: &str| format!("membership_{}_{size}_{unit}", case.name());
    let bound = if case == Case::Rest {
        REST_BYTES_PER_S
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
    // Across a cut the living are declared dead; elsewhere that is a fault.
    let expects_none = case != Case::Halves;
    if expects_none && load.false_declarations > 0 {
        figures.add_failure(format!(
            "{}: {} members that run were declared dead",
            name("false_declarations"),
            load.false_declarations
        ));
    }
    if case == Case::Start && load.known_s.is_none() && !load.cut_short {
        figures.add_failure(format!(
            "{}: a fleet that started at once has not come to one view",
            name("known_s")
        ));
    }
}

//! The parts of the control plane that a lightweight gateway can run.

use clap::ValueEnum;

/// A part of the control plane that a lightweight gateway runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// The subscription to replicated state at observers.
    Subscription,
    /// The client of the event bus.
    Bus,
    /// The membership in the fleet.
    Membership,
    /// The decision module's view of the engines, and its timers.
    Decisions,
}

impl Part {
    /// Returns all parts, in order.
    #[must_use]
    pub fn all() -> Vec<Part> {
        Part::value_variants().to_vec()
    }

    /// Returns the name of the part on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Part::Subscription => "subscription",
            Part::Bus => "bus",
            Part::Membership => "membership",
            Part::Decisions => "decisions",
        }
    }
}

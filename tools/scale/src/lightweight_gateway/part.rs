//! The parts of the control plane that a lightweight gateway can run.

use clap::ValueEnum;

/// A part of the control plane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// Agreed state by subscription to observers.
    Subscription,
    /// The event bus client.
    Bus,
    /// Membership of the fleet.
    Membership,
    /// The decision module's view of engines.
    Decisions,
}

impl Part {
    /// All parts.
    #[must_use]
    pub fn all() -> Vec<Part> {
        Part::value_variants().to_vec()
    }

    /// Its name on the command line.
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

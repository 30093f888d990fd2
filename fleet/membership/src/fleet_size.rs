//! The fleet size: the number of gateways by which a process divides the capacity of an engine.
//!
//! The fleet size rises at once when the view grows and falls slowly when members die, so that the
//! shares of all gateways never add up to more than the capacity while their views differ. It is
//! never below the number of serving gateways in the view. Until the view has settled, it is not
//! below the configured size either.

use crate::Micros;

/// Settings for deriving the fleet size from the view. Durations are in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct FleetSizeConfig {
    /// Number of gateways according to the settings. A lower number is used only once the view has
    /// settled.
    pub configured_size: u32,
    /// How long the view must show the same lower number before the fleet size falls. Must be
    /// longer than the time for which any two views may differ.
    pub settle_time: Micros,
    /// Time between two decrements of the fleet size, each by one.
    pub step_interval: Micros,
}

/// Tracks the number of gateways by which capacity is divided, including this one.
#[derive(Debug, Clone)]
pub struct FleetSize {
    config: FleetSizeConfig,
    size: u32,
    /// Number of serving gateways at the last observation.
    last_observed: u32,
    /// When the size may next fall by one.
    next_step_at: Micros,
}

impl FleetSize {
    /// Creates a fleet size that starts at the configured size, or at 1 if that is 0.
    #[must_use]
    pub fn new(config: FleetSizeConfig, now: Micros) -> Self {
        let size = config.configured_size.max(1);
        FleetSize {
            config,
            size,
            last_observed: size,
            next_step_at: now.saturating_add(config.settle_time),
        }
    }

    /// Returns the current fleet size, at least 1.
    #[must_use]
    pub fn size(&self) -> u32 {
        self.size
    }

    /// Updates the size from the number of gateways in the view that may be serving, including this
    /// one. Returns whether the size has changed.
    pub fn observe(&mut self, serving: u32, now: Micros) -> bool {
        let serving = serving.max(1);
        let size_before = self.size;
        if serving >= self.size {
            self.size = serving;
            self.next_step_at = self.settled_at(now);
        } else {
            if serving != self.last_observed {
                // The view has just changed, so the settle time starts again.
                self.next_step_at = self.next_step_at.max(self.settled_at(now));
            }
            self.step_down(serving, now);
        }
        self.last_observed = serving;
        self.size != size_before
    }

    fn step_down(&mut self, serving: u32, now: Micros) {
        while now >= self.next_step_at && self.size > serving {
            self.size -= 1;
            self.next_step_at = self
                .next_step_at
                .saturating_add(self.config.step_interval.max(1));
        }
    }

    fn settled_at(&self, now: Micros) -> Micros {
        now.saturating_add(self.config.settle_time)
    }
}

#[cfg(test)]
mod tests;

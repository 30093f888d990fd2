//! The number of gateways by which a process divides the capacity of an engine.
//!
//! It rises at once when the view grows and falls slowly when members die, so that the parts that
//! all gateways take never add up to more than the whole while their views differ. It is never
//! below the number in the view, nor, before the view has settled, below the number that the
//! settings state.

use crate::Micros;

/// How the fleet size follows the view. Spans are in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct FleetSizeConfig {
    /// The number of gateways that the settings state: a lower one holds only once the view has
    /// settled.
    pub configured_size: u32,
    /// How long a lower number has to hold before it is followed: longer than any two views may
    /// differ.
    pub settle_time: Micros,
    /// Time between two steps down, each by one.
    pub step_interval: Micros,
}

/// The number of gateways to reckon with, this one included.
#[derive(Debug, Clone)]
pub struct FleetSize {
    config: FleetSizeConfig,
    size: u32,
    /// The number of the last observation.
    last_observed: u32,
    /// When the size may next fall by one.
    next_step_at: Micros,
}

impl FleetSize {
    /// Starts with the configured size, at least one.
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

    /// The size now.
    #[must_use]
    pub fn size(&self) -> u32 {
        self.size
    }

    /// Follows the view, in which `serving` gateways may be serving now. Returns whether the size
    /// has changed.
    pub fn observe(&mut self, serving: u32, now: Micros) -> bool {
        let serving = serving.max(1);
        let size_before = self.size;
        if serving >= self.size {
            self.size = serving;
            self.next_step_at = self.settled_at(now);
        } else {
            if serving != self.last_observed {
                // A view that changes has not settled.
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

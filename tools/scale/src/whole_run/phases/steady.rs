//! Phases without faults: what a change takes, and what control costs a front end and the voters.

use std::time::{Duration, Instant};

use super::{bytes_per_second, Run, MEGABYTE};
use crate::hollow::report::{now, Totals};
use crate::whole_run::cost::Cost;
use crate::whole_run::in_force::Delays;
use crate::whole_run::WholeRunError;
use crate::Figures;

/// Bounds of the figures.
const IN_FORCE_S: f64 = 10.0;
const BYTES_PER_S: f64 = 10.0 * 1024.0;
const PROCESSOR_SHARE: f64 = 0.011;
const MEMORY_MB: f64 = 256.0;
const MESSAGES_RATIO: f64 = 1.3;

/// What was read at one moment.
struct Reading {
    at: Instant,
    hollow: Cost,
    real: Cost,
    voters: Cost,
    observers: Cost,
    totals: Totals,
    real_traffic: f64,
    voters_messages: f64,
}

impl Run<'_> {
    fn read(&self) -> Reading {
        let (voters, observers) = self.control.pids();
        Reading {
            at: Instant::now(),
            hollow: Cost::sum(self.children.pids()),
            real: Cost::sum(self.real.pids()),
            voters: Cost::sum(voters),
            observers: Cost::sum(observers),
            totals: self.totals(),
            real_traffic: self.real.traffic(),
            voters_messages: self.control.voters_messages(),
        }
    }

    /// Messages a second of all voters, as the fleet is now.
    pub(super) fn voters_messages_per_second(&mut self) -> Result<f64, WholeRunError> {
        let (begun, before) = (Instant::now(), self.control.voters_messages());
        self.pass(self.plan.steady / 2)?;
        let messages = self.control.voters_messages() - before;
        Ok(messages / begun.elapsed().as_secs_f64())
    }

    /// Measures the whole fleet at rest but for changes. `first_step`: voters' messages a second with fewer front ends.
    pub(super) fn measure_steady(
        &mut self,
        first_step: f64,
        figures: &mut Figures,
    ) -> Result<(), WholeRunError> {
        let (from, before) = (now(), self.read());
        self.pass(self.plan.steady)?;
        let (until, after) = (now(), self.read());
        self.add_delays(from, until, figures)?;
        self.add_costs(&before, &after, figures);
        let elapsed = after.at.duration_since(before.at);
        let messages = (after.voters_messages - before.voters_messages) / elapsed.as_secs_f64();
        figures.add_number("scale_voter_messages_per_s", messages);
        figures.add_number("scale_voter_messages_first_step_per_s", first_step);
        self.hold_time(
            "scale_voter_messages_ratio",
            messages / first_step,
            MESSAGES_RATIO,
            figures,
        );
        Ok(())
    }

    fn add_delays(
        &mut self,
        from: u64,
        until: u64,
        figures: &mut Figures,
    ) -> Result<(), WholeRunError> {
        // The last changes have time to arrive.
        let give = if self.plan.short {
            Duration::from_secs(1)
        } else {
            Duration::from_secs(10)
        };
        // What real front ends have reached is read once a second.
        self.pass(Duration::from_secs(2))?;
        let waits = Instant::now();
        let within = |made: &[crate::whole_run::in_force::Change]| {
            made.iter()
                .copied()
                .filter(|c| (from..until).contains(&c.due))
                .collect::<Vec<_>>()
        };
        let mut delays = Delays::of(&within(&self.made()), &self.reached());
        while delays.never > 0 && waits.elapsed() < give {
            self.pass(Duration::from_millis(50))?;
            delays = Delays::of(&within(&self.made()), &self.reached());
        }
        figures.add_number("scale_change_in_force_p50_s", delays.quantile(0.5));
        figures.add_number("scale_change_in_force_max_s", delays.quantile(1.0));
        self.hold_time(
            "scale_change_in_force_p99_s",
            delays.quantile(0.99),
            IN_FORCE_S,
            figures,
        );
        let applied = Delays::of(&within(&self.made()), &self.children.reached());
        figures.add_number("scale_change_applied_p99_s", applied.quantile(0.99));
        let real = Delays::of(&within(&self.made()), &self.reached_by_real());
        self.hold_time(
            "scale_real_in_force_p99_s",
            real.quantile(0.99),
            IN_FORCE_S,
            figures,
        );
        Ok(())
    }

    /// Adds a time, or what depends on time: held to its bound in the long form, and in both to having come at all.
    pub(super) fn hold_time(&self, name: &str, seconds: f64, bound: f64, figures: &mut Figures) {
        let bound = if self.plan.short {
            f64::INFINITY
        } else {
            bound
        };
        figures.at_most(name, seconds, bound);
    }

    fn add_costs(&self, before: &Reading, after: &Reading, figures: &mut Figures) {
        let elapsed = after.at.duration_since(before.at);
        let hollow = self.plan.hollow.max(1) as f64;
        let real = self.plan.real.max(1) as f64;
        let bytes = bytes_per_second(
            before.totals.traffic,
            after.totals.traffic,
            self.plan.hollow,
            elapsed,
        );
        figures.at_most("scale_control_bytes_per_s", bytes, BYTES_PER_S);
        let part = |name: &str, before: u64, after: u64, figures: &mut Figures| {
            let per_second = after.saturating_sub(before) as f64 / elapsed.as_secs_f64() / hollow;
            figures.add_number(&format!("scale_control_{name}_bytes_per_s"), per_second);
        };
        let (a, b) = (before.totals.traffic, after.totals.traffic);
        part("subscription", a.subscription, b.subscription, figures);
        part("bus", a.bus, b.bus, figures);
        part("membership", a.membership, b.membership, figures);
        let share = after.hollow.share_since(&before.hollow, elapsed) / hollow;
        self.hold_time("scale_control_cpu_share", share, PROCESSOR_SHARE, figures);
        figures.at_most(
            "scale_control_memory_mb",
            after.hollow.memory as f64 / MEGABYTE / hollow,
            MEMORY_MB,
        );
        let real_bytes = (after.real_traffic - before.real_traffic) / elapsed.as_secs_f64() / real;
        figures.at_most("scale_real_bytes_per_s", real_bytes, BYTES_PER_S);
        let share = after.real.share_since(&before.real, elapsed) / real;
        self.hold_time("scale_real_cpu_share", share, PROCESSOR_SHARE, figures);
        figures.at_most(
            "scale_real_memory_mb",
            after.real.memory as f64 / MEGABYTE / real,
            MEMORY_MB,
        );
        let voters = self.plan.voters.max(1) as f64;
        let observers = self.plan.observers.max(1) as f64;
        let share = |before: &Cost, after: &Cost, of: f64| after.share_since(before, elapsed) / of;
        figures.add_number(
            "scale_voter_cpu_share",
            share(&before.voters, &after.voters, voters),
        );
        figures.add_number(
            "scale_observer_cpu_share",
            share(&before.observers, &after.observers, observers),
        );
        figures.add_number(
            "scale_voter_memory_mb",
            after.voters.memory as f64 / MEGABYTE / voters,
        );
        figures.add_number(
            "scale_observer_memory_mb",
            after.observers.memory as f64 / MEGABYTE / observers,
        );
    }
}

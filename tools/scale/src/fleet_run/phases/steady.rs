//! Phases without faults: measures how long a change takes to be in force, and what the control
//! plane costs a gateway, a voter and an observer.

use std::time::{Duration, Instant};

use violetgate_replicated_state::Micros;
use violetgate_test_harness::ProcessUsage;

use super::{Run, BYTES_PER_MB};
use crate::figures::Figures;
use crate::fleet_run::error::FleetRunError;
use crate::fleet_run::propagation::{Change, InForceReports, PropagationDelays};
use crate::lightweight_gateway::protocol::{now, Totals};

/// The maximum time until a change is in force everywhere.
const MAX_IN_FORCE_S: f64 = 10.0;
/// The maximum cost of the control plane for one gateway: bytes per second, fraction of a core, and
/// memory.
const MAX_BYTES_PER_S: f64 = 10.0 * 1024.0;
const MAX_CORE_FRACTION: f64 = 0.011;
const MAX_MEMORY_MB: f64 = 256.0;
/// The maximum ratio of voters' messages per second with all gateways to those with only the
/// gateways of the first step ([`Plan::first_step`](super::super::plan::Plan::first_step)).
const MAX_MESSAGES_RATIO: f64 = 1.3;
/// How long the last changes of a phase may take to be in force everywhere.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_ARRIVAL_TIMEOUT: Duration = Duration::from_secs(1);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time until the metrics of real gateways, which are read once a second, show the last
/// changes.
const REAL_READ_WAIT: Duration = Duration::from_secs(2);

/// The counters of all processes at one time.
struct Reading {
    at: Instant,
    lightweight: ProcessUsage,
    real: ProcessUsage,
    voters: ProcessUsage,
    observers: ProcessUsage,
    totals: Totals,
    real_traffic: f64,
    voter_messages: f64,
}

/// Two readings and the time between them.
struct Interval<'a> {
    before: &'a Reading,
    after: &'a Reading,
    elapsed: Duration,
}

impl Interval<'_> {
    /// Returns the mean fraction of a core that each of `count` processes or gateways used.
    fn core_fraction(&self, usage: impl Fn(&Reading) -> ProcessUsage, count: usize) -> f64 {
        let used = usage(self.after).cpu.saturating_sub(usage(self.before).cpu);
        used.as_secs_f64() / self.elapsed.as_secs_f64().max(1e-9) / count.max(1) as f64
    }

    /// Returns the mean growth of a byte counter per second, for each of `count` gateways.
    fn bytes_per_second(&self, bytes: impl Fn(&Totals) -> u64, count: usize) -> f64 {
        let grown = bytes(&self.after.totals).saturating_sub(bytes(&self.before.totals));
        grown as f64 / self.elapsed.as_secs_f64() / count.max(1) as f64
    }
}

fn memory_mb(usage: ProcessUsage, count: usize) -> f64 {
    usage.resident_bytes as f64 / BYTES_PER_MB / count.max(1) as f64
}

impl Run<'_> {
    fn read(&self) -> Reading {
        let control = self.control.pids();
        Reading {
            at: Instant::now(),
            lightweight: ProcessUsage::sum(self.lightweight.pids()),
            real: ProcessUsage::sum(self.real.pids()),
            voters: ProcessUsage::sum(control.voters),
            observers: ProcessUsage::sum(control.observers),
            totals: self.lightweight.totals(),
            real_traffic: self.real.traffic(),
            voter_messages: self.control.voter_messages(),
        }
    }

    /// Measures the messages per second of all voters at the fleet's current size.
    pub(super) fn voter_messages_per_second(&mut self) -> Result<f64, FleetRunError> {
        let (began, before) = (Instant::now(), self.control.voter_messages());
        self.wait(self.plan.steady / 2)?;
        let messages = self.control.voter_messages() - before;
        Ok(messages / began.elapsed().as_secs_f64())
    }

    /// Measures the whole fleet while it has no load but changes. `first_step_messages` is the
    /// number of voters' messages per second at the first step, with fewer gateways.
    pub(super) fn measure_steady(
        &mut self,
        first_step_messages: f64,
        figures: &mut Figures,
    ) -> Result<(), FleetRunError> {
        let (from, before) = (now(), self.read());
        self.wait(self.plan.steady)?;
        let (until, after) = (now(), self.read());
        self.add_delays(from, until, figures)?;
        let interval = Interval {
            before: &before,
            after: &after,
            elapsed: after.at.duration_since(before.at),
        };
        self.add_lightweight_costs(&interval, figures);
        self.add_real_costs(&interval, figures);
        self.add_control_costs(&interval, figures);
        let messages =
            (after.voter_messages - before.voter_messages) / interval.elapsed.as_secs_f64();
        let ratio = messages / first_step_messages;
        figures.add_number("scale_voter_messages_per_s", messages);
        figures.add_number("scale_voter_messages_first_step_per_s", first_step_messages);
        self.add_timed(
            "scale_voter_messages_ratio",
            ratio,
            MAX_MESSAGES_RATIO,
            figures,
        );
        Ok(())
    }

    fn add_delays(
        &mut self,
        from: Micros,
        until: Micros,
        figures: &mut Figures,
    ) -> Result<(), FleetRunError> {
        let timeout = if self.plan.short {
            SHORT_ARRIVAL_TIMEOUT
        } else {
            ARRIVAL_TIMEOUT
        };
        self.wait(REAL_READ_WAIT)?;
        let began = Instant::now();
        let delays_at = |run: &Self, sources: &[InForceReports]| {
            let mut changes = run.changes();
            changes.retain(|change: &Change| (from..until).contains(&change.due));
            PropagationDelays::of(&changes, sources)
        };
        let mut delays = delays_at(self, &self.in_force_reports());
        while delays.never_in_force > 0 && began.elapsed() < timeout {
            self.wait(CHECK_INTERVAL)?;
            delays = delays_at(self, &self.in_force_reports());
        }
        figures.add_number("scale_change_in_force_p50_s", delays.quantile(0.5));
        figures.add_number("scale_change_in_force_max_s", delays.quantile(1.0));
        let in_force_p99 = delays.quantile(0.99);
        self.add_timed(
            "scale_change_in_force_p99_s",
            in_force_p99,
            MAX_IN_FORCE_S,
            figures,
        );
        let applied = delays_at(self, &self.lightweight.in_force_reports());
        figures.add_number("scale_change_applied_p99_s", applied.quantile(0.99));
        let real_p99 = delays_at(self, &self.real_in_force_reports()).quantile(0.99);
        self.add_timed(
            "scale_real_in_force_p99_s",
            real_p99,
            MAX_IN_FORCE_S,
            figures,
        );
        Ok(())
    }

    fn add_lightweight_costs(&self, interval: &Interval<'_>, figures: &mut Figures) {
        let gateways = self.plan.lightweight;
        let bytes = |bytes: fn(&Totals) -> u64| interval.bytes_per_second(bytes, gateways);
        let all_bytes = bytes(|totals| totals.traffic.total());
        figures.at_most("scale_control_bytes_per_s", all_bytes, MAX_BYTES_PER_S);
        let by_part = [
            ("subscription", bytes(|totals| totals.traffic.subscription)),
            ("bus", bytes(|totals| totals.traffic.bus)),
            ("membership", bytes(|totals| totals.traffic.membership)),
        ];
        for (part, bytes) in by_part {
            figures.add_number(&format!("scale_control_{part}_bytes_per_s"), bytes);
        }
        let core_fraction = interval.core_fraction(|reading| reading.lightweight, gateways);
        self.add_timed(
            "scale_control_cpu_share",
            core_fraction,
            MAX_CORE_FRACTION,
            figures,
        );
        let memory = memory_mb(interval.after.lightweight, gateways);
        figures.at_most("scale_control_memory_mb", memory, MAX_MEMORY_MB);
    }

    fn add_real_costs(&self, interval: &Interval<'_>, figures: &mut Figures) {
        let gateways = self.plan.real;
        let traffic = interval.after.real_traffic - interval.before.real_traffic;
        let bytes = traffic / interval.elapsed.as_secs_f64() / gateways.max(1) as f64;
        figures.at_most("scale_real_bytes_per_s", bytes, MAX_BYTES_PER_S);
        let core_fraction = interval.core_fraction(|reading| reading.real, gateways);
        self.add_timed(
            "scale_real_cpu_share",
            core_fraction,
            MAX_CORE_FRACTION,
            figures,
        );
        let memory = memory_mb(interval.after.real, gateways);
        figures.at_most("scale_real_memory_mb", memory, MAX_MEMORY_MB);
    }

    fn add_control_costs(&self, interval: &Interval<'_>, figures: &mut Figures) {
        let voters = self.plan.voters as usize;
        let observers = self.plan.observers as usize;
        let voter_fraction = interval.core_fraction(|reading| reading.voters, voters);
        let observer_fraction = interval.core_fraction(|reading| reading.observers, observers);
        figures.add_number("scale_voter_cpu_share", voter_fraction);
        figures.add_number("scale_observer_cpu_share", observer_fraction);
        let voter_memory = memory_mb(interval.after.voters, voters);
        let observer_memory = memory_mb(interval.after.observers, observers);
        figures.add_number("scale_voter_memory_mb", voter_memory);
        figures.add_number("scale_observer_memory_mb", observer_memory);
    }
}

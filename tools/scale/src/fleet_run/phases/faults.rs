//! Phases with faults: an observer is killed, the leader is killed, and a zone's gateways come back
//! at once.

use std::time::{Duration, Instant};

use super::Run;
use crate::figures::Figures;
use crate::fleet_run::error::FleetRunError;
use crate::fleet_run::propagation::in_force_at;
use crate::lightweight_gateway::protocol::{now, Command};

/// The longest time from the leader's death until a change made afterwards is in force everywhere.
const MAX_LEADER_KILLED_S: f64 = 9.0;
/// The largest fraction of a killed observer's subscribers that find their gates shut.
const MAX_GATES_SHUT_FRACTION: f64 = 0.01;
/// The longest time until all gateways of a zone serve again.
const MAX_RETURN_S: f64 = 10.0;
/// How long it is waited for what follows a fault, and how often that is checked.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long gateways that come back were away.
const TIME_AWAY: Duration = Duration::from_secs(2);
/// Processes report that gateways run before they report that gates are open.
const REPORT_WAIT: Duration = Duration::from_millis(100);
/// Gateways of the zone that the capacity page names.
const ZONE_GATEWAYS: usize = 1_520;

impl Run<'_> {
    /// Kills the observer with the most subscribers: how many of those find their gates shut.
    pub(super) fn kill_observer(&mut self, figures: &mut Figures) -> Result<(), FleetRunError> {
        let before = self.lightweight.totals();
        let observers = before.gateways_by_observer.iter();
        let Some((observer, subscribers)) = observers.max_by_key(|(_, gateways)| **gateways) else {
            figures.add_failure("no front end watches an observer");
            return Ok(());
        };
        let Some(member) = self.control.member(*observer) else {
            figures.add_failure(format!("front ends watch {observer}, which is no member"));
            return Ok(());
        };
        member.process.kill();
        self.wait(self.plan.after_fault)?;
        let shut = self.lightweight.totals().gate_closures - before.gate_closures;
        let fraction = shut as f64 / (*subscribers).max(1) as f64;
        figures.add("scale_observer_killed_subscribers", subscribers);
        self.hold_time(
            "scale_observer_killed_gates_shut_share",
            fraction,
            MAX_GATES_SHUT_FRACTION,
            figures,
        );
        self.restart(*observer)
    }

    /// Kills the leader: how long until a change that was due afterwards is in force everywhere.
    pub(super) fn kill_leader(&mut self, figures: &mut Figures) -> Result<(), FleetRunError> {
        let shut_before = self.lightweight.totals().gate_closures;
        let Some(leader) = self.control.leader() else {
            figures.add_failure("nobody leads");
            return Ok(());
        };
        let leader_id = leader.id;
        let killed_at = now();
        leader.process.kill();
        let deadline = Instant::now() + RECOVERY_TIMEOUT;
        let mut recovery_s = None;
        while Instant::now() < deadline && recovery_s.is_none() {
            self.wait(CHECK_INTERVAL)?;
            recovery_s = self.seconds_to_next_change(killed_at);
        }
        let recovery_s = recovery_s.unwrap_or(f64::NAN);
        self.hold_time(
            "scale_leader_killed_s",
            recovery_s,
            MAX_LEADER_KILLED_S,
            figures,
        );
        self.wait(self.plan.after_fault)?;
        let shut = self.lightweight.totals().gate_closures - shut_before;
        figures.add("scale_leader_killed_gates_shut", shut);
        self.restart(leader_id)
    }

    /// The time from a moment until the first change that was due afterwards was in force
    /// everywhere; `None`: it is not yet.
    fn seconds_to_next_change(&self, since: u64) -> Option<f64> {
        let changes = self.changes();
        let next = changes.iter().find(|change| change.due >= since)?;
        let in_force = in_force_at(&self.reached(), next.number)?;
        Some(in_force.saturating_sub(since) as f64 / 1e6)
    }

    /// Restarts a control process and waits until everything serves again.
    fn restart(&mut self, id: u64) -> Result<(), FleetRunError> {
        if let Some(member) = self.control.member(id) {
            let started = member.process.start();
            started.map_err(FleetRunError::machine("restart a control process"))?;
        }
        self.control.wait_until_ready()?;
        self.wait_until_serving(self.plan.lightweight)
    }

    /// A zone's gateways end and come back at once: how long until all of them serve on current
    /// state.
    pub(super) fn return_at_once(&mut self, figures: &mut Figures) -> Result<(), FleetRunError> {
        let plan = self.plan;
        self.lightweight
            .senders()
            .send_each(|process| Command::Kill {
                count: plan.share(plan.returning, process),
            });
        self.wait(TIME_AWAY)?;
        let began = now();
        self.lightweight
            .senders()
            .send_each(|process| Command::Start {
                running: plan.share(plan.lightweight, process),
                per_second: None,
            });
        self.wait(REPORT_WAIT)?;
        self.wait_until_serving(plan.lightweight)?;
        let all_serve = self.lightweight.all_gates().at;
        let return_s = all_serve.saturating_sub(began) as f64 / 1e6;
        let name = if plan.returning == ZONE_GATEWAYS {
            "scale_return_1520_s"
        } else {
            "scale_return_s"
        };
        figures.add("scale_returned", plan.returning);
        self.hold_time(name, return_s, MAX_RETURN_S, figures);
        self.wait(plan.after_fault / 2)
    }
}

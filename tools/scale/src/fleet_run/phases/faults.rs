//! Phases with faults: an observer is killed, the leader is killed, and all gateways of a zone
//! restart at once.

use std::time::{Duration, Instant};

use super::Run;
use crate::figures::Figures;
use crate::fleet_run::error::FleetRunError;
use crate::fleet_run::propagation::in_force_at;
use crate::lightweight_gateway::protocol::{now, Command};

/// The maximum time from the leader's death until a change that was due afterwards is in force
/// everywhere.
const MAX_LEADER_KILLED_S: f64 = 9.0;
/// The maximum number of gate closures after an observer is killed, as a fraction of its
/// subscribers.
const MAX_GATES_SHUT_FRACTION: f64 = 0.01;
/// The maximum time until all gateways of a zone serve again.
const MAX_RETURN_S: f64 = 10.0;
/// How long a change may take to be in force everywhere after the leader was killed, and how often
/// that is checked.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time between the kill of gateways and their restart.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// The time for the processes to report the gateways that were just started. They report that
/// gateways run before they report that gates are open.
const REPORT_WAIT: Duration = Duration::from_millis(100);
/// The number of gateways in a zone that docs/CAPACITY.md gives the restart time for.
const ZONE_GATEWAYS: usize = 1_520;

impl Run<'_> {
    /// Kills the observer with the most subscribers, and measures how many gates close.
    pub(super) fn kill_observer(&mut self, figures: &mut Figures) -> Result<(), FleetRunError> {
        let before = self.lightweight.totals();
        let observers = before.gateways_by_observer.iter();
        let Some((observer, subscribers)) = observers.max_by_key(|(_, gateways)| **gateways) else {
            figures.add_failure("no front end is subscribed to an observer");
            return Ok(());
        };
        let Some(member) = self.control.member(*observer) else {
            figures.add_failure(format!(
                "front ends are subscribed to {observer}, which is not a member"
            ));
            return Ok(());
        };
        member.process.kill();
        self.wait(self.plan.after_fault)?;
        let shut = self.lightweight.totals().gate_closures - before.gate_closures;
        let fraction = shut as f64 / (*subscribers).max(1) as f64;
        figures.add("scale_observer_killed_subscribers", subscribers);
        self.add_timed(
            "scale_observer_killed_gates_shut_share",
            fraction,
            MAX_GATES_SHUT_FRACTION,
            figures,
        );
        self.restart(*observer)
    }

    /// Kills the leader, and measures the time until a change that was due afterwards is in force
    /// everywhere.
    pub(super) fn kill_leader(&mut self, figures: &mut Figures) -> Result<(), FleetRunError> {
        let shut_before = self.lightweight.totals().gate_closures;
        let Some(leader) = self.control.leader() else {
            figures.add_failure("the cluster has no leader");
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
        self.add_timed(
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

    /// Returns the seconds from the time `since` until the first change that was due afterwards was
    /// in force everywhere, or `None` if it is not in force yet.
    fn seconds_to_next_change(&self, since: u64) -> Option<f64> {
        let changes = self.changes();
        let next = changes.iter().find(|change| change.due >= since)?;
        let in_force = in_force_at(&self.in_force_reports(), next.number)?;
        Some(in_force.saturating_sub(since) as f64 / 1e6)
    }

    /// Restarts a control process, and waits until all members route and all gateways serve.
    fn restart(&mut self, id: u64) -> Result<(), FleetRunError> {
        if let Some(member) = self.control.member(id) {
            let started = member.process.start();
            started.map_err(FleetRunError::io("restart a control process"))?;
        }
        self.control.wait_until_ready()?;
        self.wait_until_serving(self.plan.lightweight)
    }

    /// Kills the lightweight gateways of a zone, restarts them all at once, and measures the time
    /// until all gateways serve.
    pub(super) fn restart_gateways_at_once(
        &mut self,
        figures: &mut Figures,
    ) -> Result<(), FleetRunError> {
        let plan = self.plan;
        self.lightweight
            .senders()
            .send_each(|process| Command::Kill {
                count: plan.share(plan.restarted, process),
            });
        self.wait(RESTART_DELAY)?;
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
        let name = if plan.restarted == ZONE_GATEWAYS {
            "scale_return_1520_s"
        } else {
            "scale_return_s"
        };
        figures.add("scale_returned", plan.restarted);
        self.add_timed(name, return_s, MAX_RETURN_S, figures);
        self.wait(plan.after_fault / 2)
    }
}

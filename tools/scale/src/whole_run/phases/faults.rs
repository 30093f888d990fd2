//! Phases with faults: an observer is killed, the leader is killed, and a zone's front ends come back at once.

use std::time::{Duration, Instant};

use super::Run;
use crate::hollow::report::{now, Command};
use crate::whole_run::in_force::{in_force_at, Change};
use crate::whole_run::WholeRunError;
use crate::Figures;

/// Bounds of the figures.
const LEADER_KILLED_S: f64 = 9.0;
const GATES_SHUT_SHARE: f64 = 0.01;
const RETURN_S: f64 = 10.0;
/// How long something that follows a fault is waited for.
const GIVE_UP: Duration = Duration::from_secs(60);
/// How long front ends that come back were away.
const AWAY: Duration = Duration::from_secs(2);

impl Run<'_> {
    /// Kills the observer with the most subscribers: how many of those find their gates shut.
    pub(super) fn kill_observer(&mut self, figures: &mut Figures) -> Result<(), WholeRunError> {
        let before = self.totals();
        let most = before.watching.iter().max_by_key(|(_, count)| **count);
        let Some((observer, subscribers)) = most.map(|(id, count)| (*id, *count)) else {
            figures.missed("no front end watches an observer");
            return Ok(());
        };
        let Some(member) = self.control.member(observer) else {
            figures.missed(format!("front ends watch {observer}, which is no member"));
            return Ok(());
        };
        member.process.kill();
        self.pass(self.plan.after_fault)?;
        let shut = self.totals().gates_shut - before.gates_shut;
        figures.add("scale_observer_killed_subscribers", subscribers);
        let share = shut as f64 / subscribers.max(1) as f64;
        self.hold_time(
            "scale_observer_killed_gates_shut_share",
            share,
            GATES_SHUT_SHARE,
            figures,
        );
        self.restart(observer)
    }

    /// Kills the leader: how long until a change that was due afterwards is in force everywhere.
    pub(super) fn kill_leader(&mut self, figures: &mut Figures) -> Result<(), WholeRunError> {
        let shut = self.totals().gates_shut;
        let Some(leader) = self.control.leader() else {
            figures.missed("nobody leads");
            return Ok(());
        };
        let id = leader.id;
        let killed = now();
        leader.process.kill();
        let next = |made: &[Change]| made.iter().find(|change| change.due >= killed).copied();
        let until = Instant::now() + GIVE_UP;
        let mut seconds = f64::NAN;
        while Instant::now() < until && seconds.is_nan() {
            self.pass(Duration::from_millis(50))?;
            let change = next(&self.made());
            let at = change.and_then(|change| in_force_at(&self.reached(), change.number));
            seconds = at.map_or(f64::NAN, |at| at.saturating_sub(killed) as f64 / 1e6);
        }
        self.hold_time("scale_leader_killed_s", seconds, LEADER_KILLED_S, figures);
        self.pass(self.plan.after_fault)?;
        figures.add(
            "scale_leader_killed_gates_shut",
            self.totals().gates_shut - shut,
        );
        self.restart(id)
    }

    fn restart(&mut self, id: u64) -> Result<(), WholeRunError> {
        if let Some(member) = self.control.member(id) {
            member
                .process
                .start()
                .map_err(WholeRunError::machine("restart a control process"))?;
        }
        self.control.settle()?;
        self.wait_until_serving(self.plan.hollow)
    }

    /// A zone's front ends end and come back at once: how long until all of them serve on current state.
    pub(super) fn return_at_once(&mut self, figures: &mut Figures) -> Result<(), WholeRunError> {
        let plan = self.plan;
        self.children.inputs().send_each(|process| Command::Kill {
            count: plan.share(plan.returning, process),
        });
        self.pass(AWAY)?;
        let begun = now();
        self.children.inputs().send_each(|process| Command::Start {
            running: plan.share(plan.hollow, process),
            per_second: None,
        });
        // The processes report that front ends run before they report that gates are open.
        self.pass(Duration::from_millis(100))?;
        self.wait_until_serving(plan.hollow)?;
        let last = self
            .children
            .gates()
            .iter()
            .map(|gates| gates.at)
            .max()
            .unwrap_or(begun);
        let seconds = last.saturating_sub(begun) as f64 / 1e6;
        figures.add("scale_returned", plan.returning);
        let name = if plan.returning == 1_520 {
            "scale_return_1520_s"
        } else {
            "scale_return_s"
        };
        self.hold_time(name, seconds, RETURN_S, figures);
        self.pass(plan.after_fault / 2)
    }
}

//! The scenarios, which run one after the other. Each starts with all members alive; by the time
//! the next one starts, all have to be alive again.

use std::time::Duration;

use rustix::process::Signal;
use violetgate_fleet_harness::{FleetHarness, LinkFaults, ObservedState};

use crate::verdict::Verdict;

const SECOND: Duration = Duration::from_secs(1);
const HALF_SECOND: Duration = Duration::from_millis(500);
/// Part of the log line that a process writes when it declares another member dead.
const DEATH_LOG: &str = " is dead";
/// Part of the log line that a process writes when its link to another member is cut.
const CUT_LINK_LOG: &str = " is cut, others";
const CUT: LinkFaults = LinkFaults {
    is_cut: true,
    loss: 0.0,
    duplication: 0.0,
    max_delay: Duration::ZERO,
};

/// The fleet under test and the figures measured so far.
pub struct Run {
    pub fleet: FleetHarness,
    pub verdict: Verdict,
    pub is_short: bool,
    pub seed: u64,
    /// The number of gateway processes.
    pub count: usize,
}

fn all_alive(fleet: &FleetHarness) -> bool {
    let all_members: Vec<usize> = (0..fleet.processes.len()).collect();
    let mut members = all_members.iter();
    members.all(|member| fleet.all_observe(&all_members, *member, ObservedState::Alive))
}

fn declared_deaths(fleet: &FleetHarness) -> usize {
    let processes = fleet.processes.iter();
    processes.map(|p| p.count_log_lines(DEATH_LOG)).sum()
}

impl Run {
    /// The indexes of all processes but one.
    fn all_but(&self, excluded: usize) -> Vec<usize> {
        (0..self.count).filter(|i| *i != excluded).collect()
    }

    fn check_all_alive(&mut self, name: &str, within: Duration, bound: Duration) {
        let took = self.fleet.wait_until(within, all_alive);
        self.verdict.check_time(name, took, bound);
    }

    pub fn start(&mut self) {
        self.check_all_alive("together", 10 * SECOND, 8 * SECOND);
        let expected = Some(self.count as u32);
        let processes = self.fleet.processes.iter();
        let wrong = processes.filter(|p| p.fleet_size() != expected).count();
        self.verdict.check_count("share_off", wrong, 0);
    }

    pub fn lossy_network_and_pauses(&mut self) {
        println!("pauses of 2 s, with 20% loss, up to 50 ms of delay and 5% duplicates:");
        self.fleet.relay.set_all(LinkFaults {
            loss: 0.2,
            duplication: 0.05,
            max_delay: Duration::from_millis(50),
            is_cut: false,
        });
        for pause in 0..if self.is_short { 2 } else { 6 } {
            let paused = &self.fleet.processes[(pause + self.seed as usize) % self.count];
            paused.signal(Signal::STOP);
            std::thread::sleep(2 * SECOND);
            paused.signal(Signal::CONT);
            std::thread::sleep(HALF_SECOND);
        }
        self.fleet.relay.set_all(LinkFaults::default());
        let deaths = declared_deaths(&self.fleet);
        self.verdict.check_count("false_deaths", deaths, 0);
        self.check_all_alive("calm_again", 5 * SECOND, 5 * SECOND);
    }

    pub fn cut_link(&mut self) {
        println!("one link cut between two members that the others still reach:");
        self.fleet.relay.set(0, 1, CUT);
        self.fleet.relay.set(1, 0, CUT);
        let reports = |fleet: &FleetHarness| -> usize {
            let ends = fleet.processes[..2].iter();
            ends.map(|p| p.count_log_lines(CUT_LINK_LOG)).sum()
        };
        let before = reports(&self.fleet);
        let took = self
            .fleet
            .wait_until(8 * SECOND, |fleet| reports(fleet) > before);
        // Only members that observe each other can report a cut link. In a fleet of four all do; in
        // a fleet of six these two may not.
        if self.is_short || took.is_some() {
            self.verdict.check_time("cut_told", took, 6 * SECOND);
        }
        std::thread::sleep(4 * SECOND);
        let deaths = declared_deaths(&self.fleet);
        self.verdict.check_count("deaths_by_cut_link", deaths, 0);
        self.fleet.relay.set_all(LinkFaults::default());
    }

    pub fn death_and_restart(&mut self) {
        println!("one process killed:");
        let full_size = self.count as u32;
        let killed = self.count - 1;
        let others = self.all_but(killed);
        self.fleet.processes[killed].kill();
        let took = self.fleet.wait_until(10 * SECOND, |fleet| {
            fleet.all_observe(&others, killed, ObservedState::Dead)
        });
        self.verdict.check_time("death_known", took, 6 * SECOND);
        let size_of = |fleet: &FleetHarness, i: usize| fleet.processes[i].fleet_size();
        let early = self.fleet.wait_until(3 * SECOND, |fleet| {
            others.iter().any(|i| size_of(fleet, *i) != Some(full_size))
        });
        self.verdict
            .check_count("share_grown_early", usize::from(early.is_some()), 0);
        let took = self.fleet.wait_until(15 * SECOND, |fleet| {
            others
                .iter()
                .all(|i| size_of(fleet, *i) == Some(full_size - 1))
        });
        self.verdict.check_time("share_grown", took, 12 * SECOND);
    }

    /// Restarts the process that [`Run::death_and_restart`] killed.
    pub fn restart(&mut self) -> std::io::Result<()> {
        let full_size = Some(self.count as u32);
        self.fleet.processes[self.count - 1].start()?;
        let took = self.fleet.wait_until(10 * SECOND, |fleet| {
            fleet.processes.iter().all(|p| p.fleet_size() == full_size)
        });
        self.verdict.check_time("share_shrunk", took, 5 * SECOND);
        self.check_all_alive("back", 10 * SECOND, 6 * SECOND);
        Ok(())
    }

    pub fn member_that_receives_nothing(&mut self) {
        println!("one member that receives nothing:");
        let deaths_before = declared_deaths(&self.fleet);
        for from in 1..self.count {
            self.fleet.relay.set(from, 0, CUT);
        }
        let others = self.all_but(0);
        // At least two observers suspect the member. Those that still receive its messages report a
        // cut link instead, since it runs and may be sending requests to engines.
        let is_noticed = |fleet: &FleetHarness| {
            let notices = |i: &&usize| {
                let process = &fleet.processes[**i];
                let state = process.observed_state("front-0");
                matches!(state, Some(ObservedState::Suspected | ObservedState::Dead))
                    || process.reports_cut_link("front-0")
            };
            others.iter().filter(notices).count() >= 2
        };
        let took = self.fleet.wait_until(12 * SECOND, is_noticed);
        self.verdict.check_time("deaf_known", took, 8 * SECOND);
        std::thread::sleep(if self.is_short { 3 } else { 15 } * SECOND);
        let is_no_longer_noticed = !is_noticed(&self.fleet);
        self.verdict
            .check_count("deaf_forgotten", usize::from(is_no_longer_noticed), 0);
        let deaths = declared_deaths(&self.fleet) - deaths_before;
        let deaths_each = deaths.div_ceil(self.count - 1);
        self.verdict.check_count("deaths_told_each", deaths_each, 1);
        // The earlier death of the killed process accounts for one of these lines.
        let own_deaths = self.fleet.processes[0].count_log_lines(DEATH_LOG);
        self.verdict
            .check_count("deaths_told_by_deaf", own_deaths.saturating_sub(1), 0);
        self.fleet.relay.set_all(LinkFaults::default());
        self.check_all_alive("hears_again", 15 * SECOND, 10 * SECOND);
    }

    pub fn long_pause(&mut self) {
        println!("one process paused for 9 s:");
        let deaths_before = self.fleet.processes[1].count_log_lines(DEATH_LOG);
        self.fleet.processes[1].signal(Signal::STOP);
        std::thread::sleep(9 * SECOND);
        let others = self.all_but(1);
        let is_dead = self.fleet.all_observe(&others, 1, ObservedState::Dead);
        self.verdict
            .check_count("not_seen_dead", usize::from(!is_dead), 0);
        self.fleet.processes[1].signal(Signal::CONT);
        self.check_all_alive("woken", 15 * SECOND, 8 * SECOND);
        let deaths = self.fleet.processes[1].count_log_lines(DEATH_LOG) - deaths_before;
        self.verdict.check_count("accused_by_woken", deaths, 0);
    }

    pub fn graceful_shutdown(&mut self) -> std::io::Result<()> {
        println!("one process shut down with SIGTERM:");
        self.fleet.processes[2].signal(Signal::TERM);
        let has_ended = self.fleet.processes[2].wait_for_exit(8 * SECOND);
        self.verdict
            .check_count("not_ended", usize::from(!has_ended), 0);
        let others = self.all_but(2);
        let took = self.fleet.wait_until(4 * SECOND, |fleet| {
            fleet.all_observe(&others, 2, ObservedState::Left)
        });
        self.verdict.check_time("left_known", took, 3 * SECOND);
        self.fleet.processes[2].start()?;
        self.check_all_alive("new_life", 10 * SECOND, 6 * SECOND);
        Ok(())
    }

    pub fn end(&mut self) {
        let processes = &self.fleet.processes;
        let with_request_ids = processes.iter().zip(1..);
        let unserved = with_request_ids.filter(|(p, request_id)| !p.serves_request(*request_id));
        let unserved = unserved.count();
        self.verdict.check_count("unserved_at_the_end", unserved, 0);
        let crashes: u64 = processes.iter().map(|p| p.crash_count()).sum();
        self.verdict.check_count("crashed", crashes as usize, 0);
    }
}

//! The simulated fleet: its members, the messages in flight between them, and the recorded changes
//! and traffic.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use violetgate_membership::{
    Action, Identity, InvalidMessage, Member, MemberName, MemberState, MemberUpdate, Membership,
    MembershipConfig, Message, Micros,
};

use crate::cpu_time::thread_cpu_time;
use crate::event_queue::EventQueue;
use crate::faults::{FaultIndex, FaultPlan};
use crate::naming::{member_addr, member_at, member_name, member_number};
use crate::records::{LinkChange, Traffic, ViewChange};
use crate::SECOND;

/// The time between two ticks of a member.
const TICK_INTERVAL_US: Micros = 50_000;
/// The minimum delay of a message.
const MIN_LATENCY_US: Micros = 1_000;
/// The size of a datagram's IPv4 and UDP headers.
const HEADER_BYTES: u64 = 28;
/// The number of members that a new member knows as seeds.
const SEED_COUNT: usize = 3;
/// The incarnation of the processes of a new world. The value is arbitrary; a real process uses its
/// start time in Unix microseconds.
const FIRST_INCARNATION: u64 = 1_000;

#[derive(Debug, Clone)]
enum Event {
    Deliver { to: usize, message: Box<Message> },
    Tick { member: usize },
}

impl Event {
    fn member(&self) -> usize {
        match self {
            Event::Deliver { to, .. } => *to,
            Event::Tick { member } => *member,
        }
    }
}

/// Whether a member handled an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Handling {
    Handled,
    /// The member did not handle the event because its process does not run or is paused.
    Skipped,
}

/// A simulated fleet. Members are identified by their numbers, from 0.
#[derive(Debug, Clone)]
pub struct World {
    faults: FaultIndex,
    members: Vec<Membership>,
    running: Vec<bool>,
    queue: EventQueue<Event>,
    rng: ChaCha8Rng,
    now: Micros,
    /// All changes of views that happened while `records_changes` was set.
    pub view_changes: Vec<ViewChange>,
    /// All changes of links that happened while `records_changes` was set.
    pub link_changes: Vec<LinkChange>,
    /// Whether changes of views and links are recorded. A large fleet has too many of them.
    pub records_changes: bool,
    /// The number of times that a view declared a running member dead.
    pub false_declarations: u64,
    /// The CPU time spent in the membership code of all members.
    pub membership_cpu_time: Duration,
    /// The number of events that were handled or skipped.
    pub event_count: u64,
    /// The traffic that each member has sent since `measured_from`.
    pub traffic: Vec<Traffic>,
    /// The simulated time from which traffic is counted, in microseconds.
    pub measured_from: Micros,
}

fn seed_addrs(member_count: usize) -> Vec<SocketAddr> {
    (0..member_count.min(SEED_COUNT)).map(member_addr).collect()
}

fn identity(member: usize, incarnation: u64) -> Identity {
    Identity {
        name: member_name(member),
        addr: member_addr(member),
        incarnation,
    }
}

impl World {
    /// Creates a fleet whose members all start at time 0 and know the first three members as seeds.
    #[must_use]
    pub fn new(
        member_count: usize,
        seed: u64,
        config: &MembershipConfig,
        faults: FaultPlan,
    ) -> Self {
        let seeds = seed_addrs(member_count);
        let new_member = |number: usize| {
            let rng_seed = seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
            let identity = identity(number, FIRST_INCARNATION);
            Membership::new(config.clone(), identity, &seeds, rng_seed)
        };
        let mut world = World {
            faults: FaultIndex::new(faults, member_count),
            members: (0..member_count).map(new_member).collect(),
            running: vec![true; member_count],
            queue: EventQueue::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            view_changes: Vec::new(),
            link_changes: Vec::new(),
            records_changes: true,
            false_declarations: 0,
            membership_cpu_time: Duration::ZERO,
            event_count: 0,
            traffic: vec![Traffic::default(); member_count],
            measured_from: 0,
        };
        for member in 0..member_count {
            let at = world.rng.next_u64() % TICK_INTERVAL_US;
            world.queue.push(at, Event::Tick { member });
        }
        world
    }

    /// Creates a fleet whose members already know each other, as in a fleet that has run for long.
    #[must_use]
    pub fn settled_fleet(
        member_count: usize,
        seed: u64,
        config: &MembershipConfig,
        faults: FaultPlan,
    ) -> Self {
        let mut world = World::new(member_count, seed, config, faults);
        let members = world.members.iter();
        let updates: Vec<MemberUpdate> =
            members.map(|member| member.own_update().clone()).collect();
        if let Some((first, others)) = world.members.split_first_mut() {
            first.adopt_updates(&updates);
            for member in others {
                member.adopt_view(first);
            }
        }
        world
    }

    /// The simulated time, in microseconds since the start.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The membership state of each member, by number.
    pub(crate) fn members(&self) -> &[Membership] {
        &self.members
    }

    /// Whether a member has died at or before a time, by the fault plan.
    pub(crate) fn has_died(&self, member: usize, at: Micros) -> bool {
        self.faults.has_died(member, at)
    }

    /// The other members as one member sees them.
    pub fn view(&self, member: usize) -> impl Iterator<Item = Member> + '_ {
        let member = self.members.get(member);
        member.into_iter().flat_map(Membership::members)
    }

    /// The number of members that may be serving requests, in the view of one member.
    #[must_use]
    pub fn serving_count(&self, member: usize) -> u32 {
        let member = self.members.get(member);
        member.map_or(0, Membership::serving_count)
    }

    /// Whether a member's process runs.
    #[must_use]
    pub fn is_running(&self, member: usize) -> bool {
        self.running.get(member).copied().unwrap_or(false)
    }

    /// Runs until a simulated time.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidMessage`] if a member rejects a message.
    pub fn run(&mut self, until: Micros) -> Result<(), InvalidMessage> {
        let never_stop = |_: &World| ControlFlow::<()>::Continue(());
        self.run_while(until, never_stop).map(|_| ())
    }

    /// Runs until a simulated time, or until `check` returns `Break`. `check` is called after each
    /// event that a member has handled.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidMessage`] if a member rejects a message.
    pub fn run_while<B>(
        &mut self,
        until: Micros,
        mut check: impl FnMut(&World) -> ControlFlow<B>,
    ) -> Result<ControlFlow<B>, InvalidMessage> {
        while let Some((at, event)) = self.queue.pop_until(until) {
            self.now = at;
            self.event_count += 1;
            if self.handle(event)? == Handling::Skipped {
                continue;
            }
            if let ControlFlow::Break(reason) = check(self) {
                return Ok(ControlFlow::Break(reason));
            }
        }
        self.now = until;
        Ok(ControlFlow::Continue(()))
    }

    fn handle(&mut self, event: Event) -> Result<Handling, InvalidMessage> {
        let (number, now) = (event.member(), self.now);
        if self.faults.has_died(number, now) {
            self.kill(number);
        }
        if !self.is_running(number) {
            return Ok(Handling::Skipped);
        }
        if let Some(resumes_at) = self.faults.paused_until(number, now) {
            self.queue.push(resumes_at, event);
            return Ok(Handling::Skipped);
        }
        let Some(member) = self.members.get_mut(number) else {
            return Ok(Handling::Skipped);
        };
        let mut actions = Vec::new();
        let began = thread_cpu_time();
        let handled = match &event {
            Event::Tick { .. } => {
                member.tick(now, &mut actions);
                Ok(())
            }
            Event::Deliver { message, .. } => member.handle_message(now, message, &mut actions),
        };
        self.membership_cpu_time += thread_cpu_time().saturating_sub(began);
        handled?;
        if matches!(event, Event::Tick { .. }) {
            if self.faults.has_left(number, now) {
                member.leave(&mut actions);
                self.kill(number);
            }
            self.queue.push(now + TICK_INTERVAL_US, event);
        }
        self.carry_out_all(number, actions);
        Ok(Handling::Handled)
    }

    fn carry_out_all(&mut self, member: usize, actions: Vec<Action>) {
        for action in actions {
            self.carry_out(member, action);
        }
    }

    fn carry_out(&mut self, observer: usize, action: Action) {
        match action {
            Action::Send { to, message } => self.send(observer, member_at(to), message),
            Action::StateChanged { member, state } => {
                self.record_view_change(observer, &member, state);
            }
            Action::LinkChanged { member, link } if self.records_changes => {
                self.link_changes.push(LinkChange {
                    at: self.now,
                    observer,
                    subject: member_number(&member),
                    link,
                });
            }
            Action::LinkChanged { .. } | Action::Superseded | Action::TableFull { .. } => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let size = postcard::experimental::serialized_size(&message).unwrap_or(0) as u64;
        if self.now >= self.measured_from {
            if let Some(traffic) = self.traffic.get_mut(from) {
                traffic.bytes += size + HEADER_BYTES;
                traffic.messages += 1;
            }
        }
        let plan = self.faults.plan();
        let is_lost = (self.rng.next_u64() as f64 / u64::MAX as f64) < plan.loss;
        let jitter = if plan.jitter > 0 {
            self.rng.next_u64() % plan.jitter
        } else {
            0
        };
        if to < self.members.len() && !is_lost && !self.faults.is_cut(from, to, self.now) {
            let message = Box::new(message);
            let at = self.now + MIN_LATENCY_US + jitter;
            self.queue.push(at, Event::Deliver { to, message });
        }
    }

    fn record_view_change(&mut self, observer: usize, subject: &MemberName, state: MemberState) {
        let subject = member_number(subject);
        let is_false = state == MemberState::Dead && self.runs_as_known(observer, subject);
        self.false_declarations += u64::from(is_false);
        if self.records_changes {
            self.view_changes.push(ViewChange {
                at: self.now,
                observer,
                subject,
                state,
            });
        }
    }

    /// Whether a member runs, in the same incarnation that an observer knows of it.
    fn runs_as_known(&self, observer: usize, subject: usize) -> bool {
        let observer = self.members.get(observer);
        let known = observer.and_then(|member| member.incarnation_of(&member_name(subject)));
        let true_incarnation = self
            .members
            .get(subject)
            .map(|member| member.own_update().incarnation);
        self.is_running(subject) && known == true_incarnation
    }

    /// Replaces the fault plan from now on.
    pub fn set_faults(&mut self, faults: FaultPlan) {
        self.faults = FaultIndex::new(faults, self.members.len());
    }

    /// Resumes the processes whose pause lasts for more than ten seconds from now: moves all events
    /// that are more than ten seconds away to the present.
    pub fn resume_paused(&mut self) {
        self.queue
            .reschedule_after(self.now + 10 * SECOND, self.now + 1);
    }

    /// Restarts a member's process now, as a new incarnation that knows only the seeds.
    pub fn restart(&mut self, number: usize, config: &MembershipConfig, incarnation: u64) {
        let restarted = Membership::new(
            config.clone(),
            identity(number, incarnation),
            &seed_addrs(self.members.len()),
            incarnation ^ number as u64,
        );
        let member = self.members.get_mut(number);
        let (Some(member), Some(is_running)) = (member, self.running.get_mut(number)) else {
            return;
        };
        *member = restarted;
        let was_running = std::mem::replace(is_running, true);
        if !was_running {
            self.queue.push(self.now, Event::Tick { member: number });
        }
    }

    /// Ends a member's process now, without sending a message.
    pub fn kill(&mut self, member: usize) {
        if let Some(is_running) = self.running.get_mut(member) {
            *is_running = false;
        }
    }

    /// Makes a member leave the fleet now, and ends its process.
    pub fn leave(&mut self, number: usize) {
        let mut actions = Vec::new();
        let Some(member) = self.members.get_mut(number) else {
            return;
        };
        member.leave(&mut actions);
        self.kill(number);
        self.carry_out_all(number, actions);
    }

    /// Delivers a message to a member at the current time, past the simulated network's faults.
    pub fn inject(&mut self, to: usize, message: Message) {
        let message = Box::new(message);
        self.queue.push(self.now, Event::Deliver { to, message });
    }
}

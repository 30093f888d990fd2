//! A fleet of members and the network between them, in simulated time and from a seed: loss, jitter, pauses of
//! processes, one-sided cuts, deaths and restarts. It notes what each view says, step by step, and knows what is true.
//! It must never decide anything for a member.

mod faults;
pub mod load;
mod queue;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::time::{clock_gettime, ClockId};
use violetgate_membership::{
    Action, Claim, Member, Membership, MembershipConfig, Message, Micros, Name, State,
};

use crate::faults::FaultIndex;
pub use crate::faults::{Cut, FaultPlan};
use crate::queue::EventQueue;

/// A second.
pub const S: Micros = 1_000_000;
/// Time between two turns of a member.
const TURN: Micros = 50_000;
/// What a datagram costs beside its bytes.
const HEADER: u64 = 28;

/// What a view said of a member, when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// When.
    pub at: Micros,
    /// Whose view.
    pub by: usize,
    /// Of whom.
    pub of: usize,
    /// What.
    pub state: State,
}

#[derive(Debug, Clone)]
enum Event {
    Deliver(usize, Box<Message>),
    Turn(usize),
}

/// A fleet at work.
#[derive(Debug, Clone)]
pub struct World {
    faults: FaultIndex,
    members: Vec<Membership>,
    running: Vec<bool>,
    queue: EventQueue<Event>,
    rng: ChaCha8Rng,
    now: Micros,
    /// All changes of views, while `records`.
    pub seen: Vec<Seen>,
    /// Whether `seen` and `links` are kept; large fleets change their views too often for that.
    pub records: bool,
    /// How often a view held a member for dead that ran.
    pub false_declarations: u64,
    /// Processor time spent in the members' own code.
    pub core_time: Duration,
    /// Events handled.
    pub events: u64,
    /// Cut links that views told of, and their ends: when, whose view, which member, cut or not.
    pub links: Vec<(Micros, usize, usize, bool)>,
    /// Bytes and messages sent by each, from `measured_from` on.
    pub sent: Vec<(u64, u64)>,
    /// Since when bytes count.
    pub measured_from: Micros,
}

/// Processor time of this thread: other work on the machine does not count.
fn thread_time() -> Duration {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32)
}

fn addr(i: usize) -> SocketAddr {
    let [.., a, b] = (i as u32).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 1, a, b)), 7000)
}

fn index(addr: SocketAddr) -> usize {
    match addr.ip() {
        IpAddr::V4(ip) => usize::from(u16::from_be_bytes([ip.octets()[2], ip.octets()[3]])),
        IpAddr::V6(_) => usize::MAX,
    }
}

/// The name of the member of that number.
#[must_use]
pub fn name(i: usize) -> Name {
    format!("front-{i:04}").into()
}

/// The number of the member of that name.
#[must_use]
pub fn number(name: &str) -> usize {
    name.rsplit('-')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(usize::MAX)
}

impl World {
    /// A fleet of so many, each of which knows the first three as seeds.
    #[must_use]
    pub fn new(count: usize, seed: u64, config: &MembershipConfig, faults: FaultPlan) -> Self {
        let seeds: Vec<SocketAddr> = (0..count.min(3)).map(addr).collect();
        let member = |i| {
            let own = seed.wrapping_mul(1_000_003).wrapping_add(i as u64);
            Membership::new(config.clone(), name(i), addr(i), 1_000, &seeds, own)
        };
        let mut world = World {
            faults: FaultIndex::new(faults, count),
            members: (0..count).map(member).collect(),
            running: vec![true; count],
            queue: EventQueue::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            seen: Vec::new(),
            records: true,
            false_declarations: 0,
            core_time: Duration::ZERO,
            events: 0,
            links: Vec::new(),
            sent: vec![(0, 0); count],
            measured_from: 0,
        };
        for i in 0..count {
            let at = world.rng.next_u64() % TURN;
            world.add(at, Event::Turn(i));
        }
        world
    }

    /// A fleet of so many that know each other already, as one that has been up for long.
    #[must_use]
    pub fn settled_fleet(
        count: usize,
        seed: u64,
        config: &MembershipConfig,
        faults: FaultPlan,
    ) -> Self {
        let mut world = World::new(count, seed, config, faults);
        let claims: Vec<Claim> = world
            .members
            .iter()
            .map(|member| member.own_claim().clone())
            .collect();
        if let Some((first, others)) = world.members.split_first_mut() {
            first.adopt_claims(&claims);
            others
                .iter_mut()
                .for_each(|member| member.adopt_view(first));
        }
        world
    }

    fn add(&mut self, at: Micros, event: Event) {
        self.queue.push(at, event);
    }

    /// The view of a member.
    pub fn view(&self, i: usize) -> impl Iterator<Item = Member> + '_ {
        self.members
            .get(i)
            .into_iter()
            .flat_map(Membership::members)
    }

    /// How many a member takes to be serving.
    #[must_use]
    pub fn serving(&self, i: usize) -> u32 {
        self.members.get(i).map_or(0, Membership::serving)
    }

    /// Whether the process runs.
    #[must_use]
    pub fn runs(&self, i: usize) -> bool {
        self.running.get(i).copied().unwrap_or(false)
    }

    /// Whether the life of a member that a view knows is one that runs.
    fn runs_in_view(&self, by: usize, of: usize) -> bool {
        let known = self.members.get(by).and_then(|m| m.life_of(&name(of)));
        let true_life = self.members.get(of).map(|m| m.own_claim().life);
        self.runs(of) && known == true_life
    }

    /// Whether all that run hold the same, and of each other that they are alive.
    #[must_use]
    pub fn agrees(&self) -> bool {
        let running: Vec<usize> = (0..self.members.len()).filter(|i| self.runs(*i)).collect();
        self.same_digests()
            && running
                .iter()
                .all(|i| self.sees_all_that_run(*i, running.len()))
    }

    /// Whether all that run hold the same, and of those that don't run that they are gone.
    #[must_use]
    pub fn settled(&self) -> bool {
        let gone =
            |m: &Member| matches!(m.state, State::Dead | State::Left) || self.runs(number(&m.name));
        let first = (0..self.members.len()).find(|i| self.runs(*i));
        let running = self.running.iter().filter(|r| **r).count();
        let right = |i: usize| self.sees_all_that_run(i, running) && self.view(i).all(|m| gone(&m));
        // Views with one digest hold the same.
        self.same_digests() && first.is_none_or(right)
    }

    fn same_digests(&self) -> bool {
        let running = self
            .members
            .iter()
            .zip(&self.running)
            .filter(|(_, runs)| **runs);
        let mut digests = running.map(|(member, _)| member.digest());
        let Some(first) = digests.next() else {
            return true;
        };
        digests.all(|digest| digest == first)
    }

    fn sees_all_that_run(&self, i: usize, running: usize) -> bool {
        let mut others = 0;
        for member in self.view(i).filter(|m| self.runs(number(&m.name))) {
            if member.state != State::Alive {
                return false;
            }
            others += 1;
        }
        others + 1 == running
    }

    /// Runs until a time; `step` is called after each event with what is true then, and ends the run with an error.
    ///
    /// # Errors
    ///
    /// What `step` said.
    pub fn run(
        &mut self,
        until: Micros,
        mut step: impl FnMut(&World) -> Result<(), String>,
    ) -> Result<(), String> {
        while let Some((at, event)) = self.queue.pop_until(until) {
            self.now = at;
            self.events += 1;
            if self.handle(at, event)? {
                step(self)?;
            }
        }
        self.now = until;
        Ok(())
    }

    /// Handles an event; false: nobody was there to see it yet, or any more.
    fn handle(&mut self, at: Micros, event: Event) -> Result<bool, String> {
        let i = match &event {
            Event::Deliver(to, _) | Event::Turn(to) => *to,
        };
        if self.faults.died(i, at) {
            self.running.get_mut(i).into_iter().for_each(|r| *r = false);
        }
        if !self.runs(i) {
            return Ok(false);
        }
        if let Some(resumes) = self.faults.paused_until(i, at) {
            self.add(resumes, event);
            return Ok(false);
        }
        let mut actions = Vec::new();
        let Some(member) = self.members.get_mut(i) else {
            return Ok(false);
        };
        let began = thread_time();
        let heard = match &event {
            Event::Turn(_) => {
                member.turn(at, &mut actions);
                Ok(())
            }
            Event::Deliver(_, message) => member.hear(at, message, &mut actions),
        };
        self.core_time += thread_time().saturating_sub(began);
        heard.map_err(|e| e.to_string())?;
        if matches!(event, Event::Turn(_)) {
            if self.faults.left(i, at) {
                member.leave(&mut actions);
                self.running.get_mut(i).into_iter().for_each(|r| *r = false);
            }
            self.add(at + TURN, event);
        }
        for action in actions {
            self.carry_out(i, action);
        }
        Ok(true)
    }

    fn carry_out(&mut self, i: usize, action: Action) {
        match action {
            Action::Send(to, message) => {
                let size = postcard::experimental::serialized_size(&message).unwrap_or(0) as u64;
                if self.now >= self.measured_from {
                    self.sent
                        .get_mut(i)
                        .into_iter()
                        .for_each(|s| *s = (s.0 + size + HEADER, s.1 + 1));
                }
                let (to, now) = (index(to), self.now);
                let plan = self.faults.plan();
                let lost = (self.rng.next_u64() as f64 / u64::MAX as f64) < plan.loss;
                let late = if plan.jitter > 0 {
                    self.rng.next_u64() % plan.jitter
                } else {
                    0
                };
                if to < self.members.len() && !lost && !self.faults.is_cut(i, to, now) {
                    self.add(now + 1_000 + late, Event::Deliver(to, Box::new(message)));
                }
            }
            Action::Changed(of, state) => {
                let of = number(&of);
                self.false_declarations +=
                    u64::from(state == State::Dead && self.runs_in_view(i, of));
                if self.records {
                    self.seen.push(Seen {
                        at: self.now,
                        by: i,
                        of,
                        state,
                    });
                }
            }
            Action::Link(of, cut) if self.records => {
                self.links.push((self.now, i, number(&of), cut))
            }
            Action::Link(..) | Action::Superseded | Action::Full(_) => {}
        }
    }

    /// From now on this happens, and nothing that was to come before.
    pub fn set_faults(&mut self, faults: FaultPlan) {
        self.faults = FaultIndex::new(faults, self.members.len());
    }

    /// Those that stood still go on now: what waited for them comes at once.
    pub fn wake(&mut self) {
        self.queue.hasten(self.now + 10 * S, self.now + 1);
    }

    /// A process of that number starts anew, as a new life of its name, knowing only the seeds.
    pub fn restart(&mut self, i: usize, config: &MembershipConfig, life: Micros) {
        let seeds: Vec<SocketAddr> = (0..self.members.len().min(3)).map(addr).collect();
        let new = Membership::new(
            config.clone(),
            name(i),
            addr(i),
            life,
            &seeds,
            life ^ i as u64,
        );
        let (Some(member), Some(running)) = (self.members.get_mut(i), self.running.get_mut(i))
        else {
            return;
        };
        *member = new;
        let turned = std::mem::replace(running, true);
        if !turned {
            self.add(self.now, Event::Turn(i));
        }
    }

    /// A process ends without a word, now.
    pub fn kill(&mut self, i: usize) {
        self.running.get_mut(i).into_iter().for_each(|r| *r = false);
    }

    /// A process says that it leaves, and ends, now.
    pub fn leave(&mut self, i: usize) {
        let mut actions = Vec::new();
        let Some(member) = self.members.get_mut(i) else {
            return;
        };
        member.leave(&mut actions);
        self.kill(i);
        for action in actions {
            self.carry_out(i, action);
        }
    }

    /// A message reaches a member, whoever sent it.
    pub fn inject(&mut self, to: usize, message: Message) {
        self.add(self.now, Event::Deliver(to, Box::new(message)));
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Deaths told of members that run, and of none other.
    #[must_use]
    pub fn false_deaths(&self) -> usize {
        self.seen
            .iter()
            .filter(|s| s.state == State::Dead && !self.faults.died(s.of, s.at))
            .count()
    }

    /// How long after a death the last that runs held it for dead; `None`: one does not yet.
    #[must_use]
    pub fn last_to_know(&self, of: usize, died: Micros) -> Option<Micros> {
        let knows = |i: usize| {
            self.seen
                .iter()
                .find(|s| s.by == i && s.of == of && s.state == State::Dead && s.at >= died)
                .map(|s| s.at - died)
        };
        let all: Vec<Option<Micros>> = (0..self.members.len())
            .filter(|i| self.runs(*i) && *i != of)
            .map(knows)
            .collect();
        all.iter()
            .copied()
            .collect::<Option<Vec<Micros>>>()
            .and_then(|k| k.into_iter().max())
    }
}

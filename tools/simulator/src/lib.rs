//! A fleet of members and the network between them, in simulated time and from a seed: loss, jitter, pauses of
//! processes, one-sided cuts, deaths and restarts. It notes what each view says, step by step, and knows what is true.
//! It must never decide anything for a member.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use violetgate_membership::{Action, Manner, Member, Membership, Message, Micros, Name, State};

/// A second.
pub const S: Micros = 1_000_000;
/// Time between two turns of a member.
const TURN: Micros = 50_000;
/// What a datagram costs beside its bytes.
const HEADER: u64 = 28;

/// Messages from some to some others are lost in a span.
#[derive(Debug, Clone)]
pub struct Cut {
    /// From these.
    pub from: Vec<usize>,
    /// To these.
    pub to: Vec<usize>,
    /// From then on.
    pub begin: Micros,
    /// Until then.
    pub end: Micros,
}

/// What happens in a run.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    /// The share of messages that are lost.
    pub loss: f64,
    /// Messages take 1 ms and up to this much longer.
    pub jitter: Micros,
    /// A process stands still: which, from when, until when. What comes meanwhile is there when it goes on.
    pub pauses: Vec<(usize, Micros, Micros)>,
    /// Links that are cut.
    pub cuts: Vec<Cut>,
    /// A process dies without a word, at that time.
    pub deaths: Vec<(usize, Micros)>,
    /// A process says that it leaves, and goes.
    pub leaves: Vec<(usize, Micros)>,
}

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
    Deliver(usize, Message),
    Turn(usize),
}

/// A fleet at work.
#[derive(Debug, Clone)]
pub struct World {
    faults: FaultPlan,
    members: Vec<Membership>,
    running: Vec<bool>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    rng: ChaCha8Rng,
    now: Micros,
    /// All changes of views.
    pub seen: Vec<Seen>,
    /// Cut links that views told of, and their ends: when, whose view, which member, cut or not.
    pub links: Vec<(Micros, usize, usize, bool)>,
    /// Bytes and messages sent by each, from `measured_from` on.
    pub sent: Vec<(u64, u64)>,
    /// Since when bytes count.
    pub measured_from: Micros,
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
    name.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(usize::MAX)
}

impl World {
    /// A fleet of so many, each of which knows the first three as seeds.
    #[must_use]
    pub fn new(count: usize, seed: u64, manner: &Manner, faults: FaultPlan) -> Self {
        let seeds: Vec<SocketAddr> = (0..count.min(3)).map(addr).collect();
        let member = |i| {
            let own = seed.wrapping_mul(1_000_003).wrapping_add(i as u64);
            Membership::new(manner.clone(), name(i), addr(i), 1_000, &seeds, own)
        };
        let mut world = World {
            faults,
            members: (0..count).map(member).collect(),
            running: vec![true; count],
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            seen: Vec::new(),
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

    fn add(&mut self, at: Micros, event: Event) {
        self.queue.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    fn paused_until(&self, i: usize, at: Micros) -> Option<Micros> {
        self.faults
            .pauses
            .iter()
            .filter(|(p, from, to)| *p == i && (*from..*to).contains(&at))
            .map(|p| p.2)
            .max()
    }

    /// The view of a member.
    pub fn view(&self, i: usize) -> impl Iterator<Item = Member> + '_ {
        self.members.get(i).into_iter().flat_map(Membership::members)
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

    /// Whether all that run hold the same, and of each other that they are alive.
    #[must_use]
    pub fn agrees(&self) -> bool {
        let mut digests = (0..self.members.len()).filter(|i| self.runs(*i)).map(|i| {
            let alive = self.view(i).filter(|m| self.runs(number(&m.name))).all(|m| m.state == State::Alive);
            let all = self.view(i).filter(|m| self.runs(number(&m.name))).count() + 1;
            (
                alive && all == self.running.iter().filter(|r| **r).count(),
                self.members.get(i).map(Membership::digest),
            )
        });
        let Some(first) = digests.next() else { return true };
        first.0 && digests.all(|d| d == first)
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
        while let Some(Reverse((at, id))) = self.queue.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.queue.pop();
            self.now = at;
            let Some(event) = self.events.remove(&id) else { continue };
            let i = match &event {
                Event::Deliver(to, _) | Event::Turn(to) => *to,
            };
            if self.faults.deaths.iter().any(|(d, t)| *d == i && *t <= at) {
                self.running.get_mut(i).into_iter().for_each(|r| *r = false);
            }
            if !self.runs(i) {
                continue;
            }
            if let Some(resumes) = self.paused_until(i, at) {
                self.add(resumes, event);
                continue;
            }
            let mut actions = Vec::new();
            let Some(member) = self.members.get_mut(i) else { continue };
            match event {
                Event::Turn(_) => {
                    member.turn(at, &mut actions);
                    if self.faults.leaves.iter().any(|(l, t)| *l == i && *t <= at) {
                        member.leave(&mut actions);
                        self.running.get_mut(i).into_iter().for_each(|r| *r = false);
                    }
                    self.add(at + TURN, Event::Turn(i));
                }
                Event::Deliver(_, message) => {
                    member.hear(at, &message, &mut actions).map_err(|e| e.to_string())?;
                }
            }
            for action in actions {
                self.carry_out(i, action);
            }
            step(self)?;
        }
        self.now = until;
        Ok(())
    }

    fn carry_out(&mut self, i: usize, action: Action) {
        match action {
            Action::Send(to, message) => {
                let size = postcard::to_stdvec(&message).map_or(0, |b| b.len()) as u64;
                if self.now >= self.measured_from {
                    self.sent.get_mut(i).into_iter().for_each(|s| *s = (s.0 + size + HEADER, s.1 + 1));
                }
                let (to, now) = (index(to), self.now);
                let hit =
                    |c: &Cut| (c.begin..c.end).contains(&now) && c.from.contains(&i) && c.to.contains(&to);
                let lost = (self.rng.next_u64() as f64 / u64::MAX as f64) < self.faults.loss;
                let late = if self.faults.jitter > 0 { self.rng.next_u64() % self.faults.jitter } else { 0 };
                if to < self.members.len() && !lost && !self.faults.cuts.iter().any(hit) {
                    self.add(now + 1_000 + late, Event::Deliver(to, message));
                }
            }
            Action::Changed(of, state) => {
                self.seen.push(Seen { at: self.now, by: i, of: number(&of), state });
            }
            Action::Link(of, cut) => self.links.push((self.now, i, number(&of), cut)),
            Action::Superseded | Action::Full(_) => {}
        }
    }

    /// From now on this happens, and nothing that was to come before.
    pub fn set_faults(&mut self, faults: FaultPlan) {
        self.faults = faults;
    }

    /// Those that stood still go on now: what waited for them comes at once.
    pub fn wake(&mut self) {
        let far: Vec<u64> = self
            .queue
            .iter()
            .filter(|Reverse((at, _))| *at > self.now + 10 * S)
            .map(|Reverse((_, id))| *id)
            .collect();
        let mut queue: Vec<Reverse<(Micros, u64)>> = std::mem::take(&mut self.queue).into_vec();
        queue.retain(|Reverse((_, id))| !far.contains(id));
        queue.extend(far.into_iter().map(|id| Reverse((self.now + 1, id))));
        self.queue = queue.into();
    }

    /// A process of that number starts anew, as a new life of its name, knowing only the seeds.
    pub fn restart(&mut self, i: usize, manner: &Manner, life: Micros) {
        let seeds: Vec<SocketAddr> = (0..self.members.len().min(3)).map(addr).collect();
        let new = Membership::new(manner.clone(), name(i), addr(i), life, &seeds, life ^ i as u64);
        let (Some(member), Some(running)) = (self.members.get_mut(i), self.running.get_mut(i)) else {
            return;
        };
        *member = new;
        let turned = std::mem::replace(running, true);
        if !turned {
            self.add(self.now, Event::Turn(i));
        }
    }

    /// A message reaches a member, whoever sent it.
    pub fn inject(&mut self, to: usize, message: Message) {
        self.add(self.now, Event::Deliver(to, message));
    }

    /// The time.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Deaths told of members that run, and of none other.
    #[must_use]
    pub fn false_deaths(&self) -> usize {
        let died = |of: usize, at: Micros| self.faults.deaths.iter().any(|(d, t)| *d == of && *t <= at);
        self.seen.iter().filter(|s| s.state == State::Dead && !died(s.of, s.at)).count()
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
        let all: Vec<Option<Micros>> =
            (0..self.members.len()).filter(|i| self.runs(*i) && *i != of).map(knows).collect();
        all.iter().copied().collect::<Option<Vec<Micros>>>().and_then(|k| k.into_iter().max())
    }
}

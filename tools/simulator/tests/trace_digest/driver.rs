//! Drives the members of a small fleet through their public interface, and writes everything that
//! they send and report into a hash.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use violetgate_membership::{
    Action, Identity, LinkState, Membership, MembershipConfig, Message, Micros,
};
use violetgate_simulator::{Cut, MemberEvent, Pause, SECOND};

/// The time between two ticks of a member, in microseconds.
const TICK_INTERVAL: Micros = 50_000;

/// A 64-bit FNV-1a hash of everything that is written to it.
pub struct Fnv(pub u64);

impl Fnv {
    pub fn new() -> Self {
        Fnv(0xcbf2_9ce4_8422_2325)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    pub fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    pub fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.bytes(text.as_bytes());
    }
}

/// A linear congruential random number generator.
pub struct Lcg(pub u64);

impl Lcg {
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 20) % limit.max(1)
    }
}

/// The death of a process, which sends no last message and may be restarted later.
#[derive(Clone, Copy)]
pub struct Death {
    pub member: usize,
    pub at: Micros,
    pub restart_at: Option<Micros>,
}

/// The size, seed and faults of a fleet. Times are in microseconds of simulated time.
#[derive(Default)]
pub struct Scenario {
    pub members: usize,
    pub seconds: u64,
    pub seed: u64,
    pub loss_percent: u64,
    pub pauses: Vec<Pause>,
    pub cuts: Vec<Cut>,
    pub deaths: Vec<Death>,
    pub leaves: Vec<MemberEvent>,
    /// The maximum number of members in a member's table; `None` for the default.
    pub capacity: Option<usize>,
    /// One message in this many, on average, is replaced by an older one to the same member.
    pub stale_one_in: Option<u64>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    /// Delivers the message at this index of [`Fleet::messages`].
    Deliver {
        message: usize,
    },
    Restart,
    Leave,
}

/// An event of a member. Events are ordered by time, then by number.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueuedEvent {
    at: Micros,
    number: u64,
    member: usize,
    event: Event,
}

/// The members of a scenario, the messages between them and the hash of their trace.
pub struct Fleet {
    scenario: Scenario,
    members: Vec<Option<Membership>>,
    messages: Vec<Message>,
    /// For each member, the message that may be delivered again in place of a later one.
    replayable_messages: Vec<Option<Message>>,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    last_number: u64,
    random: Lcg,
    hash: Fnv,
}

fn addr(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (member >> 8) as u8, member as u8], 7_100))
}

fn new_member(scenario: &Scenario, number: usize, began: Micros) -> Membership {
    let mut config = MembershipConfig::default();
    config.max_members = scenario.capacity.unwrap_or(config.max_members);
    let name = format!("gateway-{number}");
    let seeds = [addr(0), addr(1)];
    let seed = scenario.seed * 1_000 + number as u64 + began;
    let identity = Identity {
        name: name.as_str().into(),
        addr: addr(number),
        incarnation: 5_000 + began,
    };
    Membership::new(config, identity, &seeds, seed)
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let count = scenario.members;
        let member = |number| Some(new_member(&scenario, number, 0));
        let mut fleet = Fleet {
            members: (0..count).map(member).collect(),
            messages: Vec::new(),
            replayable_messages: vec![None; count],
            queue: BinaryHeap::new(),
            last_number: 0,
            random: Lcg(scenario.seed),
            hash: Fnv::new(),
            scenario,
        };
        for member in 0..count {
            let at = fleet.random.below(TICK_INTERVAL);
            fleet.enqueue(at, member, Event::Tick);
        }
        for leave in fleet.scenario.leaves.clone() {
            fleet.enqueue(leave.at, leave.member, Event::Leave);
        }
        for death in fleet.scenario.deaths.clone() {
            if let Some(at) = death.restart_at {
                fleet.enqueue(at, death.member, Event::Restart);
            }
        }
        fleet
    }

    fn enqueue(&mut self, at: Micros, member: usize, event: Event) {
        self.last_number += 1;
        self.queue.push(Reverse(QueuedEvent {
            at,
            number: self.last_number,
            member,
            event,
        }));
    }

    /// Runs the scenario to its end and returns the digest.
    pub fn digest(mut self) -> u64 {
        let end = self.scenario.seconds * SECOND;
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.handle(next.at, next.member, next.event);
        }
        for member in 0..self.members.len() {
            self.write_view(member);
        }
        self.hash.0
    }

    fn is_down(&self, member: usize, now: Micros) -> bool {
        let mut deaths = self.scenario.deaths.iter();
        deaths.any(|death| {
            death.member == member
                && now >= death.at
                && death.restart_at.is_none_or(|restart_at| now < restart_at)
        })
    }

    fn handle(&mut self, now: Micros, number: usize, event: Event) {
        if self.is_down(number, now) {
            if event == Event::Tick {
                self.enqueue(now + TICK_INTERVAL, number, event);
            }
            return;
        }
        let is_current =
            |pause: &&Pause| pause.member == number && (pause.begin..pause.end).contains(&now);
        let pause = self.scenario.pauses.iter().find(is_current);
        if let Some(resumes_at) = pause.map(|pause| pause.end) {
            self.enqueue(resumes_at, number, event);
            return;
        }
        if event == Event::Restart {
            self.members[number] = Some(new_member(&self.scenario, number, now));
            return;
        }
        for action in self.dispatch(now, number, event) {
            self.carry_out(now, number, action);
        }
        let is_last_tick_of_second = now / SECOND != (now + TICK_INTERVAL) / SECOND;
        if is_last_tick_of_second && number % 7 == 0 {
            self.write_view(number);
        }
    }

    /// Passes an event to its member and returns the actions that the member requests.
    fn dispatch(&mut self, now: Micros, number: usize, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(member) = self.members[number].as_mut() else {
            return actions;
        };
        match event {
            Event::Tick => {
                member.tick(now, &mut actions);
                self.enqueue(now + TICK_INTERVAL, number, Event::Tick);
            }
            Event::Deliver { message } => {
                let message = &self.messages[message];
                let handled = member.handle_message(now, message, &mut actions);
                self.hash.number(u64::from(handled.is_ok()));
            }
            Event::Leave => member.leave(&mut actions),
            Event::Restart => {}
        }
        actions
    }

    fn carry_out(&mut self, now: Micros, member: usize, action: Action) {
        self.hash.number(now);
        self.hash.number(member as u64);
        self.write_action(&action);
        if let Action::Send { to, message } = action {
            self.send(now, member, to, message);
        }
    }

    fn write_action(&mut self, action: &Action) {
        let hash = &mut self.hash;
        match action {
            Action::Send { to, message } => {
                hash.number(1);
                hash.text(&to.to_string());
                let bytes = postcard::to_stdvec(message).unwrap();
                hash.number(bytes.len() as u64);
                hash.bytes(&bytes);
            }
            Action::StateChanged { member, state } => {
                hash.number(2);
                hash.text(member);
                hash.number(*state as u64);
            }
            Action::LinkChanged { member, link } => {
                hash.number(3);
                hash.text(member);
                hash.number(u64::from(*link == LinkState::Cut));
            }
            Action::Superseded => hash.number(4),
            Action::TableFull { rejected } => {
                hash.number(5);
                hash.text(rejected);
            }
        }
    }

    fn send(&mut self, now: Micros, from: usize, to: SocketAddr, message: Message) {
        let Some(to) = (0..self.members.len()).find(|member| addr(*member) == to) else {
            return;
        };
        let is_lost = self.random.below(100) < self.scenario.loss_percent;
        let delay = 1_000 + self.random.below(4_000);
        let is_cut = self.scenario.cuts.iter().any(|cut| {
            cut.from.contains(&from) && cut.to.contains(&to) && (cut.begin..cut.end).contains(&now)
        });
        let stale_one_in = self.scenario.stale_one_in;
        let is_stale = stale_one_in.is_some_and(|one_in| self.random.below(one_in) == 0);
        if is_lost || is_cut {
            return;
        }
        let message = match self.replayable_messages[to].take().filter(|_| is_stale) {
            Some(stale) => stale,
            None => {
                self.replayable_messages[to] = Some(message.clone());
                message
            }
        };
        self.messages.push(message);
        let message = self.messages.len() - 1;
        self.enqueue(now + delay, to, Event::Deliver { message });
    }

    fn write_view(&mut self, member: usize) {
        let Some(member) = &self.members[member] else {
            return;
        };
        let hash = &mut self.hash;
        hash.number(member.digest());
        hash.number(u64::from(member.serving_count()));
        hash.number(u64::from(member.is_recovering_from_pause()));
        hash.number(member.gossip_dropped());
        hash.number(member.anti_entropy_dropped());
        for other in member.members() {
            hash.text(&other.name);
            hash.text(&other.addr.to_string());
            hash.number(other.state as u64);
            hash.number(other.state_since);
            hash.number(other.link_cut_since.unwrap_or(u64::MAX));
            hash.number(other.incarnation);
            hash.number(u64::from(other.refutations));
        }
    }
}

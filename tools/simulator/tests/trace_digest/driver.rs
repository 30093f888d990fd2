//! Drives members of a small fleet by their interface alone, and writes all that they send and
//! report into a hash.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use violetgate_membership::{Action, Identity, LinkState, Membership, MembershipConfig, Message};
use violetgate_simulator::SECOND;

/// FNV-1a over everything that is written to it.
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

/// What goes wrong in a scenario; times are in seconds.
#[derive(Default)]
pub struct Scenario {
    pub members: usize,
    pub seconds: u64,
    pub seed: u64,
    /// Percent of the messages.
    pub loss: u64,
    /// Which member stands still, from, until.
    pub pauses: Vec<(usize, u64, u64)>,
    /// One way from a range of members to another, from, until.
    pub cuts: Vec<(std::ops::Range<usize>, std::ops::Range<usize>, u64, u64)>,
    /// Which member dies when, and when it starts anew, if it does.
    pub deaths: Vec<(usize, u64, Option<u64>)>,
    /// Which member leaves when.
    pub leaves: Vec<(usize, u64)>,
    /// The most members that are known, where it is not the usual number.
    pub capacity: Option<usize>,
    /// One message in so many is replaced by an older one that went to the same member.
    pub stale: Option<u64>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    Deliver(usize),
    Restart,
    Leave,
}

pub struct Fleet {
    scenario: Scenario,
    members: Vec<Option<Membership>>,
    messages: Vec<Message>,
    last_to: Vec<Option<Message>>,
    queue: BinaryHeap<Reverse<(u64, u64, usize, Event)>>,
    queued: u64,
    draw: Lcg,
    hash: Fnv,
}

fn addr(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (member >> 8) as u8, member as u8], 7_100))
}

fn member(scenario: &Scenario, number: usize, began: u64) -> Membership {
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
        let mut fleet = Fleet {
            members: (0..count).map(|i| Some(member(&scenario, i, 0))).collect(),
            messages: Vec::new(),
            last_to: vec![None; count],
            queue: BinaryHeap::new(),
            queued: 0,
            draw: Lcg(scenario.seed),
            hash: Fnv::new(),
            scenario,
        };
        for i in 0..count {
            let at = fleet.draw.below(50_000);
            fleet.add(at, i, Event::Tick);
        }
        for (i, at) in fleet.scenario.leaves.clone() {
            fleet.add(at * SECOND, i, Event::Leave);
        }
        for (i, _, back) in fleet.scenario.deaths.clone() {
            back.into_iter()
                .for_each(|at| fleet.add(at * SECOND, i, Event::Restart));
        }
        fleet
    }

    fn add(&mut self, at: u64, of: usize, event: Event) {
        self.queued += 1;
        self.queue.push(Reverse((at, self.queued, of, event)));
    }

    fn is_down(&self, i: usize, now: u64) -> bool {
        let deaths = self.scenario.deaths.iter();
        deaths
            .filter(|d| d.0 == i)
            .any(|d| now >= d.1 * SECOND && d.2.is_none_or(|back| now < back * SECOND))
    }

    pub fn digest(mut self) -> u64 {
        let end = self.scenario.seconds * SECOND;
        while let Some(Reverse((now, _, i, event))) = self.queue.pop() {
            if now > end {
                break;
            }
            self.handle(now, i, event);
        }
        for i in 0..self.members.len() {
            self.write_view(i);
        }
        self.hash.0
    }

    fn handle(&mut self, now: u64, i: usize, event: Event) {
        if self.is_down(i, now) {
            if event == Event::Tick {
                self.add(now + 50_000, i, event);
            }
            return;
        }
        let pause = self
            .scenario
            .pauses
            .iter()
            .find(|p| p.0 == i && (p.1 * SECOND..p.2 * SECOND).contains(&now));
        if let Some(until) = pause.map(|p| p.2 * SECOND) {
            self.add(until, i, event);
            return;
        }
        if event == Event::Restart {
            self.members[i] = Some(member(&self.scenario, i, now));
            return;
        }
        let Some(member) = self.members[i].as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        match event {
            Event::Tick => {
                member.tick(now, &mut actions);
                self.add(now + 50_000, i, Event::Tick);
            }
            Event::Deliver(at) => {
                let heard = member.handle_message(now, &self.messages[at], &mut actions);
                self.hash.number(u64::from(heard.is_ok()));
            }
            Event::Leave => {
                member.leave(&mut actions);
            }
            Event::Restart => {}
        }
        for action in actions {
            self.carry_out(now, i, action);
        }
        if now / SECOND != (now + 50_000) / SECOND && i % 7 == 0 {
            self.write_view(i);
        }
    }

    fn carry_out(&mut self, now: u64, i: usize, action: Action) {
        self.hash.number(now);
        self.hash.number(i as u64);
        match action {
            Action::Send { to, message } => {
                self.hash.number(1);
                self.hash.text(&to.to_string());
                let bytes = postcard::to_stdvec(&message).unwrap();
                self.hash.number(bytes.len() as u64);
                self.hash.bytes(&bytes);
                self.send(now, i, to, message);
            }
            Action::StateChanged { member, state } => {
                self.hash.number(2);
                self.hash.text(&member);
                self.hash.number(state as u64);
            }
            Action::LinkChanged { member, link } => {
                self.hash.number(3);
                self.hash.text(&member);
                self.hash.number(u64::from(link == LinkState::Cut));
            }
            Action::Superseded => self.hash.number(4),
            Action::TableFull { rejected } => {
                self.hash.number(5);
                self.hash.text(&rejected);
            }
        }
    }

    fn send(&mut self, now: u64, from: usize, to: SocketAddr, message: Message) {
        let Some(to) = (0..self.members.len()).find(|i| addr(*i) == to) else {
            return;
        };
        let lost = self.draw.below(100) < self.scenario.loss;
        let delay = 1_000 + self.draw.below(4_000);
        let cut = self.scenario.cuts.iter().any(|(a, b, begin, end)| {
            a.contains(&from) && b.contains(&to) && (begin * SECOND..end * SECOND).contains(&now)
        });
        let stale = self
            .scenario
            .stale
            .is_some_and(|one_in| self.draw.below(one_in) == 0);
        if lost || cut {
            return;
        }
        let message = match self.last_to[to].take().filter(|_| stale) {
            Some(old) => old,
            None => {
                self.last_to[to] = Some(message.clone());
                message
            }
        };
        self.messages.push(message);
        let at = self.messages.len() - 1;
        self.add(now + delay, to, Event::Deliver(at));
    }

    fn write_view(&mut self, i: usize) {
        let Some(member) = &self.members[i] else {
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

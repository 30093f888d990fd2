//! Simulates two members and delivers the messages between them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;

use violetgate_membership::{
    Action, Identity, MemberState, MemberUpdate, Membership, MembershipConfig, Message,
    MessageBody, Micros, BUCKET_COUNT,
};

pub const SECOND: Micros = 1_000_000;
const INCARNATION: u64 = 1_000;

/// Returns the address of a member of the pair. Its port is the member's number.
fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

pub fn new_member(config: MembershipConfig, number: u16) -> Membership {
    let identity = Identity {
        name: format!("pair-{number}").as_str().into(),
        addr: addr(number),
        incarnation: INCARNATION,
    };
    Membership::new(config, identity, &[], u64::from(number))
}

/// Returns an update about a numbered third member that is alive.
pub fn update(number: usize) -> MemberUpdate {
    let name = format!("member-{number:05}");
    let addr = SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000));
    MemberUpdate {
        name: name.as_str().into(),
        addr,
        incarnation: INCARNATION,
        refutations: 0,
        state: MemberState::Alive,
        accuser: None,
    }
}

pub fn updates(numbers: Range<usize>) -> Vec<MemberUpdate> {
    numbers.map(update).collect()
}

pub fn dead(update: &MemberUpdate) -> MemberUpdate {
    MemberUpdate {
        state: MemberState::Dead,
        ..update.clone()
    }
}

/// Estimates the encoded size of a message, in bytes.
pub fn size_estimate(message: &Message) -> usize {
    let body = match &message.body {
        MessageBody::BucketSums(view) => 5 * view.sums.len(),
        MessageBody::BucketRequest(_) => BUCKET_COUNT / 8,
        _ => 10,
    };
    let updates = message.updates.iter().map(|update| update.name.len() + 20);
    body + updates.sum::<usize>()
}

pub struct Pair {
    pub members: [Membership; 2],
    now: Micros,
    /// Estimated bytes of all messages sent, including lost ones.
    pub bytes: usize,
}

impl Pair {
    /// Creates two members with the given views that also know each other.
    pub fn new(first: &[MemberUpdate], second: &[MemberUpdate]) -> Self {
        Pair::with_config(&MembershipConfig::default(), first, second)
    }

    pub fn with_config(
        config: &MembershipConfig,
        first: &[MemberUpdate],
        second: &[MemberUpdate],
    ) -> Self {
        let member = |number: u16, view: &[MemberUpdate]| {
            let mut member = new_member(config.clone(), number);
            member.adopt_updates(view);
            member
        };
        let mut members = [member(1, first), member(2, second)];
        let own = members.each_ref().map(|m| m.own_update().clone());
        members.iter_mut().for_each(|m| m.adopt_updates(&own));
        Pair {
            members,
            now: SECOND,
            bytes: 0,
        }
    }

    /// Sends the first member's digest to the second one, and delivers it and all messages that
    /// follow, except those for which `is_lost` returns `true`.
    pub fn compare(&mut self, is_lost: impl FnMut(&Message) -> bool) {
        let own = self.members[0].own_update().clone();
        let digest = self.members[0].digest();
        let comparison = Message {
            body: MessageBody::ViewDigest { digest },
            updates: vec![own.clone(), own],
        };
        self.deliver(1, comparison, is_lost);
        self.now += 2 * SECOND;
    }

    /// Delivers a message to the member with index `to` and all messages that follow between the
    /// two, except those for which `is_lost` returns `true`.
    pub fn deliver(
        &mut self,
        to: usize,
        message: Message,
        mut is_lost: impl FnMut(&Message) -> bool,
    ) {
        let mut in_flight = VecDeque::from([(to, message)]);
        while let Some((to, message)) = in_flight.pop_front() {
            self.bytes += size_estimate(&message);
            if is_lost(&message) {
                continue;
            }
            let mut actions = Vec::new();
            self.members[to]
                .handle_message(self.now, &message, &mut actions)
                .unwrap();
            for action in actions {
                match action {
                    Action::Send { to, message } if to.ip() == addr(1).ip() => {
                        in_flight.push_back((usize::from(to.port()) - 1, message));
                    }
                    _ => {}
                }
            }
        }
    }

    pub fn has_equal_views(&self) -> bool {
        self.members[0].digest() == self.members[1].digest()
    }

    /// Compares until the views are equal and returns the number of comparisons. Panics if they
    /// still differ after 199.
    pub fn rounds_until_equal(&mut self) -> usize {
        (1..200)
            .find(|_| {
                self.compare(|_| false);
                self.has_equal_views()
            })
            .unwrap()
    }
}

//! Which observers a subscriber is connected to: one watched, one in reserve, and now and then one that is tried.

use violetgate_raft::NodeId;
use violetgate_replicated_state::{Entries, Micros};

use super::directory::{draw, WHOLE};
use super::link::Link;
use super::{Subscriber, SubscriberAction};
use crate::message::{ObserverWelcome, Refusal, SubscriberHello, MAGIC, VERSION};

/// Observers that are held: the watched one and the reserve.
const HELD: usize = 2;
/// How long a greeting may stay unanswered.
const CONNECT_WITHIN: Micros = 1_000_000;
/// The reserve is asked whether it is current once in so many confirmations.
const RESERVE_CHECKS: u64 = 8;
/// Of so many signs of load, one has this subscriber move to its reserve if that has far less load.
const MOVES_ONE_IN: u64 = 16;
/// Of so many signs of load, one has this subscriber look at an observer that it does not hold.
const LOOKS_ONE_IN: u64 = 32;
/// The margin in thousandths of the capacity beyond one and a half times the load.
const MARGIN: u64 = WHOLE / 20;
/// The longest time that an observer may leave questions unanswered, after several were given up.
const LONGEST_PATIENCE: Micros = 30_000_000;

impl Subscriber {
    /// An observer has answered the greeting.
    pub fn connected(&mut self, now: Micros, observer: NodeId, welcome: &ObserverWelcome) {
        self.now = now;
        if !self.links.contains_key(&observer) {
            return;
        }
        self.directory
            .heard_load(now, observer, welcome.subscribers, welcome.capacity);
        if let Some(refusal) = &welcome.refused {
            return self.lost(observer, Some(refusal));
        }
        self.directory.accepted(observer);
        if let Some(link) = self.links.get_mut(&observer) {
            (link.open, link.since) = (true, now);
        }
        if self.watched.is_none() {
            self.follow(observer);
        } else if self.reserve.is_none() {
            self.hold_in_reserve(observer);
        } else {
            self.compare_with_reserve(observer);
        }
    }

    /// A connection could not be made, or has ended; the refusal, if one was told.
    pub fn disconnected(&mut self, now: Micros, observer: NodeId, refusal: Option<&Refusal>) {
        self.now = now;
        self.lost(observer, refusal);
    }

    /// Ends a connection that is of no use.
    pub(super) fn leave(&mut self, observer: NodeId, refusal: Option<&Refusal>) {
        self.out.push(SubscriberAction::Disconnect(observer));
        self.lost(observer, refusal);
    }

    /// A connection has ended: the reserve is watched at once, and a new one looked for after a pause.
    fn lost(&mut self, observer: NodeId, refusal: Option<&Refusal>) {
        let Some(link) = self.links.remove(&observer) else {
            return;
        };
        self.directory
            .failed(self.now, observer, refusal, &mut self.rng);
        if matches!(refusal, Some(Refusal::RevisionAhead { .. })) {
            self.download = None;
        }
        self.pause_after(link.open);
        if self.reserve == Some(observer) {
            self.reserve = None;
        }
        if self.watched == Some(observer) {
            self.watched = None;
            if let Some(next) = self.open_link() {
                self.follow(next);
            }
        }
    }

    /// The reserve, or another connection that is open.
    fn open_link(&self) -> Option<NodeId> {
        let other = self
            .links
            .iter()
            .find(|(_, link)| link.open)
            .map(|(id, _)| *id);
        self.reserve.or(other)
    }

    /// Draws the pause before the next attempt. Whoever still holds an observer is in no hurry: so those that lost
    /// the same one do not all come at once.
    fn pause_after(&mut self, was_open: bool) {
        let (first, longest) = self.config.pause;
        if !was_open {
            self.pause = self.pause.saturating_mul(2).clamp(first, longest);
        }
        let holds_another = self.links.values().any(|link| link.open);
        let pause = if was_open && holds_another {
            longest
        } else {
            self.pause
        };
        self.connect_at = self.now.saturating_add(draw(&mut self.rng, pause));
    }

    fn hold_in_reserve(&mut self, observer: NodeId) {
        self.reserve = Some(observer);
        // Its first answer shows that it can take over; where the watched one is silent, it does.
        self.ask(observer);
        self.check_reserve_at = self.now.saturating_add(self.reserve_check_every());
    }

    /// One that was tried takes the reserve's place if it has far less load.
    fn compare_with_reserve(&mut self, tried: NodeId) {
        match self.reserve {
            Some(reserve) if self.far_more_load(reserve, tried) => {
                self.links.remove(&reserve);
                self.out.push(SubscriberAction::Disconnect(reserve));
                self.hold_in_reserve(tried);
            }
            _ => {
                self.links.remove(&tried);
                self.out.push(SubscriberAction::Disconnect(tried));
            }
        }
    }

    fn far_more_load(&self, one: NodeId, other: NodeId) -> bool {
        let loads = (
            self.directory.load(self.now, one),
            self.directory.load(self.now, other),
        );
        matches!(loads, (Some(one), Some(other)) if one > other + other / 2 + MARGIN)
    }

    /// The watched observer has told of its load: now and then, and at random so that not all move at once, this
    /// subscriber moves to its reserve, or looks for a better one.
    pub(super) fn balance(&mut self) {
        let (Some(watched), Some(reserve)) = (self.watched, self.reserve) else {
            return;
        };
        if self.far_more_load(watched, reserve) && draw(&mut self.rng, MOVES_ONE_IN - 1) == 0 {
            return self.follow(reserve);
        }
        let looks = draw(&mut self.rng, LOOKS_ONE_IN - 1) == 0;
        if looks && self.links.len() == HELD {
            self.connect_to_one();
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        let stood_still = now.saturating_sub(self.now) >= self.config.drain_limit;
        self.now = now;
        if stood_still {
            self.links.values_mut().for_each(|link| link.excuse(now));
        }
        self.end_slow_attempts();
        self.check_answers();
        if let Some(watched) = self.watched.filter(|_| now >= self.confirm_at) {
            self.confirm_at = now.saturating_add(self.config.confirm_every);
            self.ask(watched);
        }
        if let Some(reserve) = self.reserve.filter(|_| now >= self.check_reserve_at) {
            self.check_reserve_at = now.saturating_add(self.reserve_check_every());
            self.ask(reserve);
        }
        while self.links.len() < HELD.min(self.directory.len()) && now >= self.connect_at {
            if !self.connect_to_one() {
                break;
            }
        }
    }

    fn reserve_check_every(&self) -> Micros {
        self.config.confirm_every.saturating_mul(RESERVE_CHECKS)
    }

    fn end_slow_attempts(&mut self) {
        let slow =
            |link: &Link| !link.open && self.now.saturating_sub(link.since) >= CONNECT_WITHIN;
        let ended: Vec<NodeId> = self
            .links
            .iter()
            .filter(|(_, link)| slow(link))
            .map(|(id, _)| *id)
            .collect();
        for observer in ended {
            self.leave(observer, None);
        }
    }

    /// Where the watched observer leaves a question unanswered, the reserve is asked as well. One that answers
    /// nothing for long is left.
    fn check_answers(&mut self) {
        if let Some(reserve) = self.reserve {
            if self.link_overdue(reserve, self.patience(self.config.answer_within)) {
                self.given_up = self.given_up.saturating_add(1);
                self.leave(reserve, None);
            } else if self.watched_is_overdue() && !self.link_overdue(reserve, 0) {
                self.ask(reserve);
            }
        }
        let longest = self.patience(self.config.drain_limit.saturating_mul(2));
        if let Some(watched) = self.watched.filter(|id| self.link_overdue(*id, longest)) {
            self.given_up = self.given_up.saturating_add(1);
            self.leave(watched, None);
        }
    }

    pub(super) fn watched_is_overdue(&self) -> bool {
        self.watched
            .is_some_and(|watched| self.link_overdue(watched, self.config.answer_within))
    }

    fn link_overdue(&self, observer: NodeId, within: Micros) -> bool {
        self.links
            .get(&observer)
            .is_some_and(|link| link.overdue(self.now, within))
    }

    /// A time that doubles with each connection given up: where no observer can answer, changing them does not help.
    fn patience(&self, first: Micros) -> Micros {
        let factor = 1_u64.checked_shl(self.given_up.min(16)).unwrap_or(1);
        first
            .saturating_mul(factor)
            .min(LONGEST_PATIENCE.max(first))
    }

    /// Begins a connection to one more observer; whether there was one to try.
    fn connect_to_one(&mut self) -> bool {
        let links = &self.links;
        let held = |id| links.contains_key(&id);
        let Some(observer) = self.directory.choose(self.now, held, &mut self.rng) else {
            self.connect_at = self.directory.ready_at(held).max(self.connect_at);
            return false;
        };
        self.links.insert(observer, Link::new(self.now));
        let hello = SubscriberHello {
            magic: MAGIC,
            version: VERSION,
            cluster: self.config.cluster.clone(),
            observer,
            name: self.config.name.clone(),
            revision: self.replica.revision(),
        };
        self.out.push(SubscriberAction::Connect(observer, hello));
        true
    }

    /// When it wants to be told the time again.
    #[must_use]
    pub fn next_tick(&self) -> Micros {
        let mut next = Micros::MAX;
        if self.links.len() < HELD.min(self.directory.len()) {
            next = next.min(self.connect_at);
        }
        for link in self.links.values().filter(|link| !link.open) {
            next = next.min(link.since.saturating_add(CONNECT_WITHIN));
        }
        if self.watched.is_some() {
            next = next.min(self.confirm_at).min(self.next_answer_check());
        }
        if self.reserve.is_some() {
            next = next.min(self.check_reserve_at);
        }
        next
    }

    /// When an answer is overdue next.
    fn next_answer_check(&self) -> Micros {
        let since = |id: Option<NodeId>| id.and_then(|id| self.links.get(&id)?.unanswered_since());
        let within = self.config.answer_within;
        let mut next = Micros::MAX;
        if let Some(at) = since(self.watched) {
            let silent =
                at.saturating_add(self.patience(self.config.drain_limit.saturating_mul(2)));
            next = next.min(silent);
            if self.reserve.is_some() && since(self.reserve).is_none() {
                next = next.min(at.saturating_add(within));
            }
        }
        if let Some(at) = since(self.reserve) {
            next = next.min(at.saturating_add(self.patience(within)));
        }
        next
    }
}

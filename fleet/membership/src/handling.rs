//! What is heard: messages, the claims that they bring, and what this member says of itself. And the rounds in which
//! news, whole views and knocks at the dead go out.

use std::net::SocketAddr;
use std::sync::Arc;

use rand_chacha::rand_core::RngCore;

use crate::claim::{Claim, Name, State};
use crate::membership::{Action, Membership, Mutant, Peer};
use crate::message::{Body, Message, Unfit};
use crate::Micros;

/// The most accusers that are kept of one suspicion.
const MOST_ACCUSERS: usize = 8;

/// Knocks that one dead member gets in a second from all others together, about.
const KNOCKS_PER_S: usize = 8;

/// How a claim has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// It is being told on.
    News,
    /// It was asked for.
    Exchange,
}

impl Membership {
    /// Takes a message. Answers go to where its sender says that it is reached, not to where a datagram came from: what
    /// stands between may show another address.
    ///
    /// # Errors
    ///
    /// It can't be heeded, and nothing has changed.
    pub fn hear(
        &mut self,
        now: Micros,
        message: &Message,
        actions: &mut Vec<Action>,
    ) -> Result<(), Unfit> {
        let sender = message.sender()?;
        self.now = now.max(self.now);
        if self.superseded || self.own.state == State::Left {
            return Ok(());
        }
        let (name, from) = (Name::clone(&sender.name), sender.addr);
        let source = if matches!(message.body, Body::Piece) {
            Source::Exchange
        } else {
            Source::News
        };
        // What the sender says of itself is always news.
        for (claim, source) in message
            .claims
            .iter()
            .zip(std::iter::once(Source::News).chain(std::iter::repeat(source)))
        {
            self.merge(claim.clone(), source, actions);
        }
        if name == self.own.name {
            return Ok(());
        }
        // A message of an older life proves nothing of this one.
        let Some(p) = self
            .peers
            .get_mut(&name)
            .filter(|p| p.claim.life == sender.life)
        else {
            return Ok(());
        };
        if p.on_rings() {
            p.heard = self.now;
            self.woken
                .iter_mut()
                .for_each(|(_, heard)| _ = heard.insert(Name::clone(&name)));
        } else if !matches!(message.body, Body::Ack(_) | Body::Tell | Body::Piece) {
            // It does not know that it is taken for dead, and has to, to refute.
            let told = Some(Claim::clone(&p.claim));
            let message = self.message(Body::Tell, told);
            actions.push(Action::Send(from, message));
        }
        match &message.body {
            Body::Ping(seq) => {
                let told = self.doubted(&name);
                let message = self.message(Body::Ack(*seq), told);
                actions.push(Action::Send(from, message));
            }
            Body::Ack(seq) => self.answered(*seq, actions),
            Body::PingFor(seq, target, at) => {
                self.help(from, *seq, Name::clone(target), *at, actions)
            }
            Body::AckFor(seq, _) => self.answered_others(*seq),
            Body::Compare(theirs) => self.answer_comparison(message, *theirs, from, actions),
            Body::Sums(theirs) => self.compare_sums(theirs, from, actions),
            Body::Want(want) => self.answer_want(want, from, actions),
            Body::Tell | Body::Piece => {}
        }
        Ok(())
    }

    /// This member goes, of its own will: the others are told at once.
    pub fn leave(&mut self, actions: &mut Vec<Action>) {
        self.own.state = State::Left;
        for addr in self.some(3 * self.config.fanout, &self.own.name.clone()) {
            let message = Message {
                body: Body::Tell,
                claims: vec![self.own.clone()],
            };
            actions.push(Action::Send(addr, message));
        }
    }

    /// Takes a claim. The same claims give the same view in any order.
    pub(crate) fn merge(&mut self, claim: Claim, source: Source, actions: &mut Vec<Action>) {
        if claim.name == self.own.name {
            return self.heard_of_self(&claim, actions);
        }
        let now = self.now;
        let old = self.peers.get(&claim.name);
        if old.is_none() && self.peers.len() >= self.config.most {
            actions.push(Action::Full(Name::clone(&claim.name)));
            return;
        }
        let same = old.is_some_and(|p| p.claim.rank() == claim.rank());
        if same {
            // Another that has no answer either.
            if claim.state == State::Alive {
                let times = self.times_told();
                return self.spread.heard(&claim, times);
            }
            let Some(p) = self.peers.get_mut(&claim.name) else {
                return;
            };
            let room = p.accusers.len() < MOST_ACCUSERS;
            if room && claim.by.clone().is_some_and(|by| p.accusers.insert(by)) {
                self.spread.push(claim);
            }
            return;
        }
        let alive = claim.state == State::Alive;
        let any = (alive
            && self.mutated(Mutant::AnyTurn)
            && old.is_some_and(|p| p.claim.life == claim.life))
            || (alive && self.mutated(Mutant::AnyLife))
            || (source == Source::Exchange && self.mutated(Mutant::AnyPiece));
        if !any && old.is_some_and(|p| p.claim.rank() > claim.rank()) {
            return;
        }
        let name = Name::clone(&claim.name);
        let same_life = |p: &&Peer| p.claim.life == claim.life;
        let back = |p: &Peer| p.claim.state == State::Dead && claim.state == State::Alive;
        let revived = old
            .filter(same_life)
            .map_or(0, |p| p.revived + u32::from(back(p)));
        let changed = old.is_none_or(|p| p.claim.state != claim.state);
        let next_ping = old.map_or_else(
            || now + self.rng.next_u64() % self.config.probe_every,
            |p| p.next_ping,
        );
        let peer = Peer {
            since: old.filter(|_| !changed).map_or(now, |p| p.since),
            accusers: claim.by.iter().cloned().collect(),
            heard: old.map_or(now, |p| p.heard),
            cut: old.filter(same_life).and_then(|p| p.cut),
            next_ping: if claim.state == State::Suspect {
                next_ping.min(now + self.config.reply)
            } else {
                next_ping
            },
            revived,
            place: None,
            claim: Arc::new(claim.clone()),
        };
        let (was, is) = (old.is_some_and(Peer::on_rings), peer.on_rings());
        // Whoever sent a piece knew of the member, and so do others; a change of one that was known here is news.
        let news = source == Source::News || old.is_some();
        self.peers.insert(peer);
        if was != is {
            if is {
                self.rings.add(&name);
            } else {
                self.rings.remove(&name);
            }
            self.watched = None;
        }
        if changed {
            actions.push(Action::Changed(Name::clone(&name), claim.state));
        }
        if news {
            self.spread.push(claim);
        }
    }

    /// What others say of this member: a newer life of its name ends it; a suspicion or a death is refuted.
    fn heard_of_self(&mut self, claim: &Claim, actions: &mut Vec<Action>) {
        if claim.life > self.own.life && !self.mutated(Mutant::AnyLife) {
            if !std::mem::replace(&mut self.superseded, true) {
                actions.push(Action::Superseded);
            }
        } else if claim.life < self.own.life {
            self.spread.push(self.own.clone());
        } else if claim.turn >= self.own.turn
            && claim.state != State::Alive
            && !self.mutated(Mutant::NoRefutation)
        {
            self.own.turn = claim.turn.saturating_add(1);
            self.strain = (self.strain + 1).min(8);
            self.spread.push(self.own.clone());
        }
    }

    /// Some members on the rings, at random, without one.
    pub(crate) fn some(&mut self, count: usize, without: &Name) -> Vec<SocketAddr> {
        self.peers.some_serving(count, without, &mut self.rng)
    }

    /// News goes out at once, in rounds, until it has been told often enough.
    pub(crate) fn tell(&mut self, actions: &mut Vec<Action>) {
        if self.spread.is_empty() || self.now < self.next_spread {
            return;
        }
        self.next_spread = self.now + self.config.spread_every;
        for addr in self.some(self.config.fanout, &self.own.name.clone()) {
            if !self.spread.is_empty() {
                let message = self.message(Body::Tell, None);
                actions.push(Action::Send(addr, message));
            }
        }
    }

    /// One of the dead is asked now and then whether it is: a split heals that way. So is a seed, while nobody is
    /// known.
    pub(crate) fn knock(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.next_knock {
            return;
        }
        self.next_knock = self.now + self.config.probe_every;
        let dead = self
            .peers
            .gone()
            .filter(|p| p.claim.state == State::Dead)
            .map(|p| p.claim.addr);
        let mut doors: Vec<SocketAddr> = dead.collect();
        doors.extend(self.unknown_seeds());
        let mut count = doors.len().min(2);
        let (enough, all) = (KNOCKS_PER_S * doors.len(), count * self.peers.serving());
        // In a large fleet most members leave it to others: one that is back is not to be flooded.
        if enough < all && self.rng.next_u64() % all as u64 >= enough as u64 {
            count = 0;
        }
        for _ in 0..count {
            let at = (self.rng.next_u64() % doors.len() as u64) as usize;
            let addr = doors.swap_remove(at);
            let told = self
                .peers
                .gone()
                .find(|p| p.claim.addr == addr)
                .map(|p| Claim::clone(&p.claim));
            let message = self.comparison(told);
            actions.push(Action::Send(addr, message));
        }
    }

    /// Where the settings say that others are, and nobody is known to be. Which member is at a seed is remembered, so
    /// that the whole table is looked through only while that is not known.
    fn unknown_seeds(&mut self) -> Vec<SocketAddr> {
        let mut unknown = Vec::new();
        for seed in &mut self.seeds {
            let at_seed = |p: &Peer| p.claim.addr == seed.addr;
            let known = seed.member.as_ref().and_then(|name| self.peers.get(name));
            if known.is_some_and(at_seed) {
                continue;
            }
            seed.member = self
                .peers
                .values()
                .find(|p| at_seed(p))
                .map(|p| Name::clone(&p.claim.name));
            if seed.member.is_none() {
                unknown.push(seed.addr);
            }
        }
        unknown
    }

    /// Those long gone are forgotten.
    pub(crate) fn forget(&mut self) {
        if self.now < self.next_forget {
            return;
        }
        self.next_forget = self.now + self.config.probe_every;
        let (now, span) = (self.now, self.config.forget);
        let over = self.peers.gone().filter(|p| now >= p.since + span);
        let over: Vec<Name> = over.map(|p| Name::clone(&p.claim.name)).collect();
        over.iter().for_each(|name| self.peers.remove(name));
    }
}

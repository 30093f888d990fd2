//! Pings: who is watched, who is asked to help, and what silence comes to. A silence that may be this process's own
//! accuses nobody.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand_chacha::rand_core::RngCore;

use crate::claim::{Claim, Name, State};
use crate::handling::Source;
use crate::membership::{Action, Membership, Mutant};
use crate::message::{Body, Message, MOST_CLAIMS};
use crate::Micros;

/// A process that comes to its turn this much later than it asked for was stopped.
const STOPPED: Micros = 200_000;
/// So many others have to be heard after that until this one is believed again, where there are so many.
const HEARD_AGAIN: usize = 3;
/// The most pings made for others at a time.
const MOST_HELPED: usize = 1_024;

/// A ping that is out.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    pub target: Name,
    pub addr: SocketAddr,
    pub sent: Micros,
    /// Others have been asked.
    pub asked: bool,
    /// Others have had an answer.
    pub others: bool,
}

/// A ping made for another: who asked, where it is, under what number, until when it is kept.
#[derive(Debug, Clone)]
pub(crate) struct Helped {
    pub asked_at: SocketAddr,
    pub seq: u64,
    pub target: Name,
    pub until: Micros,
}

impl Membership {
    /// Time has passed. To be called every 50 ms or so; a call that comes late tells that this process stood still.
    pub fn turn(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let now = now.max(self.now);
        let gap = self.turned.map_or(0, |t| now - t);
        (self.now, self.turned) = (now, Some(now));
        if self.superseded || self.own.state == State::Left {
            return;
        }
        if gap > STOPPED && !self.mutated(Mutant::NoSelfDoubt) {
            self.wake_up(gap);
        }
        self.look_at_self();
        self.end_probes(actions);
        self.start_probes(actions);
        self.judge(actions);
        self.knock(actions);
        self.tell(actions);
        self.compare(actions);
        self.send_pieces(actions);
        self.forget();
    }

    /// This process was stopped: what it sent then is no longer waited for, and the time in which others could not
    /// reach it does not count against them.
    fn wake_up(&mut self, gap: Micros) {
        self.probes.clear();
        self.woken = Some((self.now, BTreeSet::new()));
        self.strain = (self.strain + 2).min(8);
        for p in self.peers.values_mut() {
            p.since = (p.since + gap).min(self.now);
            p.heard = (p.heard + gap).min(self.now);
            p.next_ping = p.next_ping.min(self.now);
        }
    }

    fn look_at_self(&mut self) {
        let others = self.peers.serving();
        if self
            .woken
            .as_ref()
            .is_some_and(|(_, heard)| heard.len() >= HEARD_AGAIN.min(others))
        {
            self.woken = None;
        }
    }

    fn watched(&mut self) -> BTreeSet<Name> {
        let (rings, own) = (&self.rings, &self.own.name);
        self.watched
            .get_or_insert_with(|| rings.watched_by(own))
            .clone()
    }

    pub(crate) fn message(&mut self, body: Body, more: impl IntoIterator<Item = Claim>) -> Message {
        let times = self.times_told();
        let mut claims = vec![self.own.clone()];
        claims.extend(more);
        let room = MOST_CLAIMS - claims.len();
        claims.extend(self.spread.take(room, times));
        Message { body, claims }
    }

    /// How often a claim is told before it is old news.
    pub(crate) fn times_told(&self) -> u32 {
        let known = self.peers.len() as f64 + 2.0;
        (3.0 * known.log2()).ceil() as u32
    }

    /// What one that is suspected, or taken for dead, is told with each ping and answer: it can only refute what it hears.
    pub(crate) fn doubted(&self, name: &Name) -> Option<Claim> {
        self.peers
            .get(name)
            .filter(|p| p.claim.state != State::Alive)
            .map(|p| Claim::clone(&p.claim))
    }

    fn ping(&mut self, target: &Name, addr: SocketAddr, seq: u64, actions: &mut Vec<Action>) {
        let told = self.doubted(target);
        let message = self.message(Body::Ping(seq), told);
        actions.push(Action::Send(addr, message));
    }

    fn start_probes(&mut self, actions: &mut Vec<Action>) {
        for name in self.watched() {
            let (every, quick, jitter) = (
                self.config.probe_every,
                self.config.reply,
                self.rng.next_u64(),
            );
            let Some(p) = self
                .peers
                .get_mut(&name)
                .filter(|p| p.next_ping <= self.now)
            else {
                continue;
            };
            let span = if p.claim.state == State::Suspect {
                quick
            } else {
                every
            };
            p.next_ping = self.now + span - jitter % (span / 10).max(1);
            let addr = p.claim.addr;
            self.next_seq += 1;
            let seq = self.next_seq;
            let probe = Probe {
                target: Name::clone(&name),
                addr,
                sent: self.now,
                asked: false,
                others: false,
            };
            self.probes.insert(seq, probe);
            self.ping(&name, addr, seq, actions);
        }
    }

    fn end_probes(&mut self, actions: &mut Vec<Action>) {
        let (reply, now) = (self.config.reply, self.now);
        let late: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, p)| !p.asked && now >= p.sent + reply)
            .map(|(s, _)| *s)
            .collect();
        for seq in late {
            let Some(p) = self.probes.get_mut(&seq) else {
                continue;
            };
            p.asked = true;
            let (target, addr) = (Name::clone(&p.target), p.addr);
            for helper in self.some(self.config.helpers, &target) {
                let message = self.message(Body::PingFor(seq, Name::clone(&target), addr), None);
                actions.push(Action::Send(helper, message));
            }
            self.ping(&target, addr, seq, actions);
        }
        // Under strain an answer is waited for longer: it may be here already, and not read.
        let patience = reply * 2 + reply * u64::from(self.strain) / 4;
        let over: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, p)| now >= p.sent + patience)
            .map(|(s, _)| *s)
            .collect();
        for seq in over {
            if let Some(p) = self.probes.remove(&seq) {
                self.silent(&p, actions);
            }
        }
        self.helped.retain(|_, h| h.until > now);
    }

    /// A ping has had no answer, at least none that came straight.
    fn silent(&mut self, probe: &Probe, actions: &mut Vec<Action>) {
        let (now, own) = (self.now, Name::clone(&self.own.name));
        let recent = |heard: Micros| now.saturating_sub(heard) < self.config.probe_every;
        let deaf = !self.peers.values().any(|p| recent(p.heard));
        if probe.others && !self.mutated(Mutant::CutIsDeath) {
            self.set_cut(&probe.target, true, actions);
            return;
        }
        self.strain = (self.strain + u32::from(deaf)).min(8);
        let Some(p) = self.peers.get(&probe.target).filter(|p| p.on_rings()) else {
            return;
        };
        if self.woken.is_some() {
            return;
        }
        // Its own words came since then: it runs, and does not hear this one.
        if p.heard > probe.sent {
            return self.set_cut(&probe.target, true, actions);
        }
        let claim = Claim {
            state: State::Suspect,
            by: Some(own),
            ..Claim::clone(&p.claim)
        };
        self.merge(claim, Source::News, actions);
    }

    pub(crate) fn answered(&mut self, seq: u64, actions: &mut Vec<Action>) {
        if let Some(p) = self.probes.remove(&seq) {
            self.strain = self.strain.saturating_sub(1);
            self.set_cut(&p.target, false, actions);
        }
        if let Some(h) = self.helped.remove(&seq) {
            let message = self.message(Body::AckFor(h.seq, h.target), None);
            actions.push(Action::Send(h.asked_at, message));
        }
    }

    pub(crate) fn answered_others(&mut self, seq: u64) {
        self.probes
            .get_mut(&seq)
            .into_iter()
            .for_each(|p| p.others = true);
    }

    pub(crate) fn help(
        &mut self,
        from: SocketAddr,
        seq: u64,
        target: Name,
        at: SocketAddr,
        out: &mut Vec<Action>,
    ) {
        let known = self.peers.get(&target).is_some_and(|p| p.claim.addr == at);
        if !known || self.helped.len() >= MOST_HELPED {
            return;
        }
        self.next_seq += 1;
        let (own, until) = (self.next_seq, self.now + 2 * self.config.reply);
        self.helped.insert(
            own,
            Helped {
                asked_at: from,
                seq,
                target: Name::clone(&target),
                until,
            },
        );
        self.ping(&target, at, own, out);
    }

    fn set_cut(&mut self, name: &Name, cut: bool, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(p) = self.peers.get_mut(name).filter(|p| p.cut.is_some() != cut) else {
            return;
        };
        p.cut = cut.then_some(now);
        actions.push(Action::Link(Name::clone(name), cut));
    }

    /// Suspicions that have run out. A death takes a second that watches the member too, where there is one; both may
    /// be cut off from it, so the more of its watchers have not said so, the longer it takes; and one whose own words
    /// still come is not dead.
    fn judge(&mut self, actions: &mut Vec<Action>) {
        if self.woken.is_some() {
            return;
        }
        let own = &self.own.name;
        let (now, base) = (
            self.now,
            self.config.suspect_for + self.config.suspect_for * u64::from(self.strain) / 8,
        );
        let needed = if self.mutated(Mutant::LoneJudge) {
            1
        } else {
            2
        };
        let dead = |p: &&crate::membership::Peer| {
            if p.claim.state != State::Suspect || !p.accusers.contains(own) || now < p.since + base
            {
                return false;
            }
            let watchers = self.rings.watchers_of(&p.claim.name);
            // What one said that no longer watches is old: it has not asked since.
            let accusing = watchers.iter().filter(|w| p.accusers.contains(*w)).count();
            let missing = (watchers.len() - accusing) as u64;
            // One that comes back again and again takes longer each time, or the view would never settle.
            let wait = (base + base * missing / 2) << p.revived.min(4);
            watchers.contains(own)
                && accusing >= watchers.len().min(needed)
                && now >= p.since + wait
                && now >= p.heard + base / 2
        };
        let dead: Vec<Claim> = self
            .peers
            .suspects()
            .filter(dead)
            .map(|p| Claim::clone(&p.claim))
            .collect();
        for claim in dead {
            self.merge(
                Claim {
                    state: State::Dead,
                    by: None,
                    ..claim
                },
                Source::News,
                actions,
            );
        }
    }
}

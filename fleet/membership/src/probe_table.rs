//! The probes that are in flight: those of this member, and those that it makes for other
//! observers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::member_update::MemberName;
use crate::Micros;

/// The most probes that are made for other observers at a time.
const MAX_RELAYED: usize = 1_024;

/// A probe that this member has sent.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    pub target: MemberName,
    pub addr: SocketAddr,
    pub sent_at: Micros,
    /// Whether indirect probes have been requested from others for the target.
    pub indirect_requested: bool,
    /// Whether another member has had an answer.
    pub indirect_acked: bool,
}

/// A probe that is made for another observer.
#[derive(Debug, Clone)]
pub(crate) struct RelayedProbe {
    /// Where the observer is.
    pub observer_addr: SocketAddr,
    /// The observer's number for its probe.
    pub observer_sequence: u64,
    pub target: MemberName,
    pub expires_at: Micros,
}

/// All probes in flight, by sequence number.
#[derive(Debug, Clone)]
pub(crate) struct ProbeTable {
    probes: BTreeMap<u64, Probe>,
    relayed: BTreeMap<u64, RelayedProbe>,
    last_sequence: u64,
}

impl ProbeTable {
    /// An empty table; sequence numbers follow the given one.
    pub fn new(last_sequence: u64) -> Self {
        ProbeTable {
            probes: BTreeMap::new(),
            relayed: BTreeMap::new(),
            last_sequence,
        }
    }

    /// Adds a probe; returns its sequence number.
    pub fn add(&mut self, target: MemberName, addr: SocketAddr, now: Micros) -> u64 {
        self.last_sequence += 1;
        let probe = Probe {
            target,
            addr,
            sent_at: now,
            indirect_requested: false,
            indirect_acked: false,
        };
        self.probes.insert(self.last_sequence, probe);
        self.last_sequence
    }

    /// Adds a probe for another observer; returns its sequence number, or `None` if there are too
    /// many.
    pub fn add_relayed(&mut self, probe: RelayedProbe) -> Option<u64> {
        if self.relayed.len() >= MAX_RELAYED {
            return None;
        }
        self.last_sequence += 1;
        self.relayed.insert(self.last_sequence, probe);
        Some(self.last_sequence)
    }

    pub fn get_mut(&mut self, sequence: u64) -> Option<&mut Probe> {
        self.probes.get_mut(&sequence)
    }

    pub fn remove(&mut self, sequence: u64) -> Option<Probe> {
        self.probes.remove(&sequence)
    }

    pub fn remove_relayed(&mut self, sequence: u64) -> Option<RelayedProbe> {
        self.relayed.remove(&sequence)
    }

    /// The numbers of the probes without an answer after `timeout` for which no indirect probe has
    /// been requested.
    pub fn awaiting_indirect(&self, now: Micros, timeout: Micros) -> Vec<u64> {
        self.matching(|probe| !probe.indirect_requested && now >= probe.sent_at + timeout)
    }

    /// The numbers of the probes without an answer after `timeout`.
    pub fn timed_out(&self, now: Micros, timeout: Micros) -> Vec<u64> {
        self.matching(|probe| now >= probe.sent_at + timeout)
    }

    fn matching(&self, matches: impl Fn(&Probe) -> bool) -> Vec<u64> {
        let probes = self.probes.iter().filter(|(_, probe)| matches(probe));
        probes.map(|(sequence, _)| *sequence).collect()
    }

    /// Forgets the probes of this member.
    pub fn clear(&mut self) {
        self.probes.clear();
    }

    /// Forgets the probes for others that have expired.
    pub fn expire_relayed(&mut self, now: Micros) {
        self.relayed.retain(|_, probe| probe.expires_at > now);
    }
}

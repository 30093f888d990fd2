//! Probes in flight: those of this member, and those that it sends for other observers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::member_update::MemberName;
use crate::Micros;

/// Maximum number of probes in flight that this member sends because another observer asked for
/// them.
const MAX_RELAYED: usize = 1_024;

/// A probe that this member has sent as an observer.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    pub target: MemberName,
    pub addr: SocketAddr,
    pub sent_at: Micros,
    /// Whether indirect probes have been requested from others for the target.
    pub indirect_requested: bool,
    /// Whether another member has received an answer from the target.
    pub indirect_acked: bool,
}

/// A probe that this member has sent for another observer.
#[derive(Debug, Clone)]
pub(crate) struct RelayedProbe {
    /// Address of the observer, to which an answer is reported.
    pub observer_addr: SocketAddr,
    /// Sequence number that the observer gave to its own probe.
    pub observer_sequence: u64,
    pub target: MemberName,
    pub expires_at: Micros,
}

/// All probes in flight, by this member's sequence numbers.
#[derive(Debug, Clone)]
pub(crate) struct ProbeTable {
    probes: BTreeMap<u64, Probe>,
    relayed: BTreeMap<u64, RelayedProbe>,
    last_sequence: u64,
}

impl ProbeTable {
    /// Creates an empty table. Sequence numbers start at `last_sequence + 1`.
    pub fn new(last_sequence: u64) -> Self {
        ProbeTable {
            probes: BTreeMap::new(),
            relayed: BTreeMap::new(),
            last_sequence,
        }
    }

    /// Adds a probe and returns its sequence number.
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

    /// Adds a probe for another observer and returns its sequence number, or `None` if
    /// [`MAX_RELAYED`] are in flight.
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

    /// Returns the sequence numbers of the probes that have no answer after `timeout` and for which
    /// no indirect probes have been requested.
    pub fn awaiting_indirect(&self, now: Micros, timeout: Micros) -> Vec<u64> {
        self.matching(|probe| !probe.indirect_requested && now >= probe.sent_at + timeout)
    }

    /// Returns the sequence numbers of the probes that have no direct answer after `timeout`.
    pub fn timed_out(&self, now: Micros, timeout: Micros) -> Vec<u64> {
        self.matching(|probe| now >= probe.sent_at + timeout)
    }

    fn matching(&self, matches: impl Fn(&Probe) -> bool) -> Vec<u64> {
        let probes = self.probes.iter().filter(|(_, probe)| matches(probe));
        probes.map(|(sequence, _)| *sequence).collect()
    }

    /// Removes the probes that this member sent as an observer.
    pub fn clear(&mut self) {
        self.probes.clear();
    }

    /// Removes the probes for other observers that have expired.
    pub fn expire_relayed(&mut self, now: Micros) {
        self.relayed.retain(|_, probe| probe.expires_at > now);
    }
}

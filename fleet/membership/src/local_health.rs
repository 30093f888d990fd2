//! Whether this process can trust its own observations, after Lifeguard's local health: a process
//! that was paused, or that receives little, has to expect that the silence of others is its own.

use std::collections::BTreeSet;

use crate::member_update::MemberName;
use crate::Micros;

/// A tick that comes this much after the one before means that the process was paused.
const PAUSE_THRESHOLD_US: Micros = 200_000;
/// After a pause it suspects nobody until it has messages of so many others, where there are so
/// many.
const SENDERS_AFTER_PAUSE: usize = 3;
/// The worst health score.
const MAX_SCORE: u32 = 8;
/// How much a pause adds to the score.
const PAUSE_SCORE: u32 = 2;

/// The health of this process as an observer.
#[derive(Debug, Clone, Default)]
pub(crate) struct LocalHealth {
    /// From 0, healthy, to [`MAX_SCORE`].
    score: u32,
    last_tick_at: Option<Micros>,
    /// The members whose messages it has received since a pause, until these are enough.
    senders_since_pause: Option<BTreeSet<MemberName>>,
}

impl LocalHealth {
    /// Records a tick; returns the time since the last one if the process was paused in between.
    pub fn record_tick(&mut self, now: Micros) -> Option<Micros> {
        let gap = self.last_tick_at.map_or(0, |last| now - last);
        self.last_tick_at = Some(now);
        (gap > PAUSE_THRESHOLD_US).then_some(gap)
    }

    /// The process was paused: from now on it suspects nobody until it has messages of enough
    /// others.
    pub fn begin_recovery(&mut self) {
        self.senders_since_pause = Some(BTreeSet::new());
        self.worsen(PAUSE_SCORE);
    }

    /// A message of a member has arrived.
    pub fn record_sender(&mut self, name: &MemberName) {
        if let Some(senders) = &mut self.senders_since_pause {
            senders.insert(MemberName::clone(name));
        }
    }

    /// Ends the recovery from a pause once it has messages of enough of the serving members.
    pub fn check_recovery(&mut self, serving_count: usize) {
        let needed = SENDERS_AFTER_PAUSE.min(serving_count);
        let senders = self.senders_since_pause.as_ref();
        if senders.is_some_and(|senders| senders.len() >= needed) {
            self.senders_since_pause = None;
        }
    }

    /// Whether it was paused and has no messages of enough others since.
    pub fn is_recovering(&self) -> bool {
        self.senders_since_pause.is_some()
    }

    /// Raises the score.
    pub fn worsen(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_SCORE);
    }

    /// Lowers the score by one.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Extends a timeout by up to its double, the worse the score.
    pub fn extend(&self, timeout: Micros) -> Micros {
        timeout + timeout * u64::from(self.score) / u64::from(MAX_SCORE)
    }
}

//! Local health, as in Lifeguard: how far this process can trust its own observations. If it was
//! paused or receives few messages, missing answers may be its own fault.

use std::collections::BTreeSet;

use crate::member_update::MemberName;
use crate::Micros;

/// A longer time than this between two ticks means that the process was paused.
const PAUSE_THRESHOLD_US: Micros = 200_000;
/// Number of other members whose messages end the recovery from a pause. If fewer other members may
/// be serving, messages of all of them end it.
const SENDERS_TO_END_RECOVERY: usize = 3;
/// Highest score, for the worst health.
const MAX_SCORE: u32 = 8;
/// Amount that a pause adds to the score.
const PAUSE_SCORE: u32 = 2;

/// Health of this process as an observer.
#[derive(Debug, Clone, Default)]
pub(crate) struct LocalHealth {
    /// Score from 0 (healthy) to [`MAX_SCORE`].
    score: u32,
    last_tick_at: Option<Micros>,
    /// During the recovery from a pause: the members whose messages have arrived since.
    senders_since_pause: Option<BTreeSet<MemberName>>,
}

impl LocalHealth {
    /// Records a tick. Returns the time since the previous one if the process was paused between
    /// them.
    pub fn record_tick(&mut self, now: Micros) -> Option<Micros> {
        let gap = self.last_tick_at.map_or(0, |last| now - last);
        self.last_tick_at = Some(now);
        (gap > PAUSE_THRESHOLD_US).then_some(gap)
    }

    /// Starts the recovery from a pause, during which this process suspects nobody.
    pub fn begin_recovery(&mut self) {
        self.senders_since_pause = Some(BTreeSet::new());
        self.worsen(PAUSE_SCORE);
    }

    /// Records that a message of a member has arrived.
    pub fn record_sender(&mut self, name: &MemberName) {
        if let Some(senders) = &mut self.senders_since_pause {
            senders.insert(MemberName::clone(name));
        }
    }

    /// Ends the recovery from a pause if messages of enough other members have arrived.
    /// `serving_count` is the number of other members that may be serving.
    pub fn check_recovery(&mut self, serving_count: usize) {
        let needed = SENDERS_TO_END_RECOVERY.min(serving_count);
        let senders = self.senders_since_pause.as_ref();
        if senders.is_some_and(|senders| senders.len() >= needed) {
            self.senders_since_pause = None;
        }
    }

    /// Returns whether the process was paused and has not yet received messages of enough other
    /// members.
    pub fn is_recovering(&self) -> bool {
        self.senders_since_pause.is_some()
    }

    /// Raises the score, up to [`MAX_SCORE`].
    pub fn worsen(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_SCORE);
    }

    /// Lowers the score by one.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Extends a timeout in proportion to the score. The worst score doubles it.
    pub fn extend(&self, timeout: Micros) -> Micros {
        timeout + timeout * u64::from(self.score) / u64::from(MAX_SCORE)
    }
}

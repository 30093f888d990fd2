//! News on its way: each claim rides along on so many messages, the least told first, in a queue of bounded length.

use crate::claim::{Claim, State};

/// The most claims that wait to be told.
const MOST: usize = 4_096;

#[derive(Debug, Clone)]
struct News {
    claim: Claim,
    told: u32,
}

/// The queue.
#[derive(Debug, Clone, Default)]
pub(crate) struct Spread {
    queue: Vec<News>,
    pub dropped: u64,
}

impl Spread {
    /// Queues a claim in place of what it makes old. Full: what has been told most often goes.
    pub fn push(&mut self, claim: Claim) {
        let same =
            |n: &News| n.claim.name == claim.name && (n.claim.rank() < claim.rank() || n.claim == claim);
        self.queue.retain(|n| !same(n));
        if self.queue.len() >= MOST {
            let most = self.queue.iter().enumerate().max_by_key(|(_, n)| n.told).map(|(i, _)| i);
            most.map(|i| self.queue.swap_remove(i));
            self.dropped += 1;
        }
        self.queue.push(News { claim, told: 0 });
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The next claims to tell; what has been told `times` by then is done with.
    pub fn take(&mut self, most: usize, times: u32) -> Vec<Claim> {
        // Deaths and suspicions first among those told as often: there is less time for them.
        self.queue.sort_by_key(|n| (n.told, n.claim.state == State::Alive));
        let taken: Vec<Claim> = self.queue.iter().take(most).map(|n| n.claim.clone()).collect();
        self.queue.iter_mut().take(most).for_each(|n| n.told += 1);
        self.queue.retain(|n| n.told < times);
        taken
    }
}

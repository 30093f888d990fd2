//! Following an observer: changes in order, or a snapshot where changes are compacted away.

use violetgate_raft::NodeId;
use violetgate_replicated_state::{Entries, Micros, Revision, StalenessGuard};

use super::download::Download;
use super::Subscriber;
use crate::message::{EntryChange, FromSubscriber, Refusal};
use crate::mutant::Mutant;

/// After this observer was asked anew, messages that were on their way before may still come during this time.
const STALE_WITHIN: Micros = 1_000_000;

impl Subscriber {
    /// Watches an observer from now on; the one before becomes the reserve.
    pub(super) fn follow(&mut self, observer: NodeId) {
        let before = self.watched.replace(observer).filter(|id| *id != observer);
        if self.reserve == Some(observer) {
            self.reserve = None;
        }
        if let Some(before) = before.filter(|id| self.links.contains_key(id)) {
            self.send(before, FromSubscriber::StopWatching);
            self.reserve = self.reserve.or(Some(before));
        }
        self.go_on(observer);
        self.ask(observer);
        self.confirm_at = self.now.saturating_add(self.config.confirm_every);
    }

    /// Asks the watched observer for what comes next: a piece, or changes.
    fn go_on(&mut self, observer: NodeId) {
        if let Some(link) = self.links.get_mut(&observer) {
            link.followed_at = self.now;
        }
        let place = self
            .download
            .as_ref()
            .and_then(|download| download.place().cloned());
        // Without a piece yet, this observer may have the changes that the one before had not.
        if place.is_none() && self.holds_replica {
            self.download = None;
            return self.send(
                observer,
                FromSubscriber::Watch {
                    after: self.replica.revision(),
                },
            );
        }
        self.download.get_or_insert_with(Download::default);
        self.send(observer, FromSubscriber::Snapshot { from: place });
    }

    /// Changes of the watched observer. Of what overlaps with the replica, only the rest is applied.
    pub(super) fn take_changes(
        &mut self,
        observer: NodeId,
        after: Revision,
        to: Revision,
        changes: &[EntryChange],
    ) {
        let held = self.replica.revision();
        if self.download.is_some() || to <= held {
            return;
        }
        if !in_order(after, to, changes) {
            return self.protocol_error(observer, "changes out of order");
        }
        if after > held && !self.mutated(Mutant::TakesGaps) {
            if self.may_be_stale(observer) {
                return;
            }
            return self.protocol_error(observer, "a gap between changes");
        }
        self.replica.apply(to, changes);
        self.gate.applied_up_to(to);
    }

    /// The changes that are wanted, or the snapshot that is being read, are compacted away.
    pub(super) fn compacted(&mut self, observer: NodeId, first: Revision) {
        match &self.download {
            Some(download) if download.place().is_none() => return,
            None if first <= self.replica.revision() => return,
            _ => self.download = Some(Download::default()),
        }
        if let Some(link) = self.links.get_mut(&observer) {
            link.followed_at = self.now;
        }
        self.send(observer, FromSubscriber::Snapshot { from: None });
    }

    /// A piece of the snapshot that is being read.
    pub(super) fn take_piece(
        &mut self,
        observer: NodeId,
        revision: Revision,
        after: Option<&str>,
        entries: Vec<(String, Revision, Vec<u8>)>,
        last: bool,
    ) {
        let stale = self.may_be_stale(observer);
        let Some(mut download) = self.download.take() else {
            if !stale {
                self.protocol_error(observer, "a snapshot piece that was not asked for");
            }
            return;
        };
        let older = revision < self.replica.revision();
        match download.take(revision, after, entries, last) {
            Ok(()) if older => self.go_on(observer),
            Ok(()) if last => self.install(observer, revision, download),
            Ok(()) => {
                self.download = Some(download);
                self.go_on(observer);
            }
            Err(_) if stale => self.download = Some(download),
            Err(error) => {
                self.download = Some(download);
                self.protocol_error(observer, &error.to_string());
            }
        }
    }

    /// The snapshot is whole: it takes the replica's place. The gate begins anew: no answer to what was asked before
    /// vouches for these entries.
    fn install(&mut self, observer: NodeId, revision: Revision, download: Download) {
        self.replica = download.finish(revision);
        self.holds_replica = true;
        self.gate = StalenessGuard::new(self.config.drain_limit);
        self.gate.applied_up_to(revision);
        for link in self.links.values_mut() {
            link.forget_gate();
        }
        self.go_on(observer);
        self.ask(observer);
        self.confirm_at = self.now.saturating_add(self.config.confirm_every);
    }

    fn may_be_stale(&self, observer: NodeId) -> bool {
        let link = self.links.get(&observer);
        link.is_some_and(|link| self.now.saturating_sub(link.followed_at) < STALE_WITHIN)
    }

    /// An observer broke the protocol: its connection ends, and another one is tried.
    fn protocol_error(&mut self, observer: NodeId, what: &str) {
        let refusal = Refusal::Protocol {
            what: what.to_owned(),
        };
        self.leave(observer, Some(&refusal));
    }
}

/// Whether the changes are of the revisions after `after` up to `to`, in their order.
fn in_order(after: Revision, to: Revision, changes: &[EntryChange]) -> bool {
    let mut before = after.saturating_add(1);
    for change in changes {
        if change.revision < before || change.revision > to {
            return false;
        }
        before = change.revision;
    }
    true
}

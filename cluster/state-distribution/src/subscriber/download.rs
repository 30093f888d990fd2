//! A snapshot that is being read, piece by piece, beside the replica that holds until it is whole.

use std::collections::BTreeMap;

use violetgate_replicated_state::{Revision, MAX_KEY};

use crate::message::SnapshotPlace;
use crate::replica::Replica;

/// The most bytes of keys and values of a snapshot; a store holds half of them at most.
const LONGEST_SNAPSHOT: usize = 512 << 20;

/// Why a piece is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum PieceError {
    /// It does not follow the pieces so far.
    #[error("a snapshot piece out of order")]
    OutOfOrder,
    /// Its keys are not in order, or are none.
    #[error("a snapshot piece with keys out of order")]
    KeysOutOfOrder,
    /// The snapshot is larger than any store.
    #[error("a snapshot larger than any store")]
    TooLong,
}

/// The pieces so far.
#[derive(Debug, Default)]
pub(super) struct Download {
    place: Option<SnapshotPlace>,
    entries: BTreeMap<String, (Revision, Vec<u8>)>,
    bytes: usize,
}

impl Download {
    /// Where it goes on; `None`: nothing has come yet.
    pub fn place(&self) -> Option<&SnapshotPlace> {
        self.place.as_ref()
    }

    /// Takes the next piece.
    pub fn take(
        &mut self,
        revision: Revision,
        after: Option<&str>,
        entries: Vec<(String, Revision, Vec<u8>)>,
        last: bool,
    ) -> Result<(), PieceError> {
        self.check_place(revision, after)?;
        check_keys(revision, after, &entries)?;
        if entries.is_empty() && !last {
            return Err(PieceError::OutOfOrder);
        }
        for (key, changed, value) in entries {
            self.bytes = self
                .bytes
                .saturating_add(key.len())
                .saturating_add(value.len());
            self.place = Some(SnapshotPlace {
                revision,
                after: key.clone(),
            });
            self.entries.insert(key, (changed, value));
        }
        if self.bytes > LONGEST_SNAPSHOT {
            return Err(PieceError::TooLong);
        }
        Ok(())
    }

    fn check_place(&self, revision: Revision, after: Option<&str>) -> Result<(), PieceError> {
        let follows = match &self.place {
            Some(place) => place.revision == revision && Some(place.after.as_str()) == after,
            None => after.is_none(),
        };
        follows.then_some(()).ok_or(PieceError::OutOfOrder)
    }

    /// The replica of all pieces.
    pub fn finish(self, revision: Revision) -> Replica {
        Replica::of_snapshot(revision, self.entries)
    }
}

fn check_keys(
    revision: Revision,
    after: Option<&str>,
    entries: &[(String, Revision, Vec<u8>)],
) -> Result<(), PieceError> {
    let mut before = after.unwrap_or_default();
    for (key, changed, _) in entries {
        if key.as_str() <= before || key.len() > MAX_KEY || *changed > revision {
            return Err(PieceError::KeysOutOfOrder);
        }
        before = key;
    }
    Ok(())
}

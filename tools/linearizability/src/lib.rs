//! A linearizability checker for histories of operations on single keys, after Wing and Gong.
//!
//! A history is linearizable if some total order of its operations explains every answer, where
//! each operation takes effect at one moment between its start and its end. The search is
//! exponential in the worst case, so the length of a history is bounded by [`MAX_OPERATIONS`].
//!
//! ```
//! use violetgate_linearizability::{is_linearizable, Operation, OperationKind};
//!
//! let operation = |kind, started_at, finished_at| Operation {
//!     key: 0,
//!     kind,
//!     started_at,
//!     finished_at: Some(finished_at),
//! };
//! let write = operation(OperationKind::Write(1), 0, 10);
//! assert!(is_linearizable(&[write.clone(), operation(OperationKind::Read(Some(1)), 20, 30)]));
//! assert!(!is_linearizable(&[write, operation(OperationKind::Read(None), 20, 30)]));
//! ```

use std::collections::HashSet;

#[cfg(test)]
mod tests;

/// The most operations of one history.
pub const MAX_OPERATIONS: usize = 128;

/// What a client does to a key, which holds a number or nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OperationKind {
    /// Sets the key.
    Write(u64),
    /// Sets the key if it holds the expected value.
    CompareAndSwap {
        /// The value that the key has to hold.
        expected: u64,
        /// The value that it holds afterwards.
        new: u64,
        /// Whether it was set; `None` if that is not known.
        swapped: Option<bool>,
    },
    /// Reads the key; the value that was seen.
    Read(Option<u64>),
}

/// One operation of a client, with the time span in which it took effect.
#[derive(Debug, Clone)]
pub struct Operation {
    /// The key.
    pub key: u64,
    /// What was done.
    pub kind: OperationKind,
    /// When the client began, in microseconds.
    pub started_at: u64,
    /// When the client got its answer, in microseconds. `None`: the outcome is not known, and the
    /// operation may take effect at any time after its start, or never.
    pub finished_at: Option<u64>,
}

/// The first [`MAX_OPERATIONS`] operations on a key, by the time at which they started.
#[must_use]
pub fn first_operations_on(history: &[Operation], key: u64) -> Vec<Operation> {
    let mut operations: Vec<_> = history
        .iter()
        .filter(|operation| operation.key == key)
        .cloned()
        .collect();
    operations.sort_by_key(|operation| operation.started_at);
    operations.truncate(MAX_OPERATIONS);
    operations
}

/// Whether the operations on one key, which held nothing before them, are linearizable.
///
/// # Panics
///
/// There are more than [`MAX_OPERATIONS`].
#[must_use]
pub fn is_linearizable(operations: &[Operation]) -> bool {
    let count = operations.len();
    assert!(
        count <= MAX_OPERATIONS,
        "{count} operations, {MAX_OPERATIONS} at most"
    );
    Search {
        operations,
        visited: HashSet::new(),
    }
    .can_finish(State::default())
}

/// Where the search stands: the operations that have taken effect, one bit each, and the value
/// after them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct State {
    done: u128,
    value: Option<u64>,
}

struct Search<'a> {
    operations: &'a [Operation],
    visited: HashSet<State>,
}

impl Search<'_> {
    /// Whether the remaining operations can follow in some order.
    fn can_finish(&mut self, state: State) -> bool {
        let operations = self.operations;
        let remaining: Vec<_> = operations
            .iter()
            .enumerate()
            .filter(|(bit, _)| state.done >> bit & 1 == 0)
            .collect();
        if remaining.iter().all(|(_, o)| o.finished_at.is_none()) {
            return true;
        }
        if !self.visited.insert(state) {
            return false;
        }
        // The next operation can't have started after another remaining one had finished.
        let earliest_end = remaining.iter().filter_map(|(_, o)| o.finished_at).min();
        remaining
            .into_iter()
            .filter(|(_, o)| earliest_end.is_none_or(|end| o.started_at <= end))
            .any(|(bit, operation)| {
                let done = state.done | 1 << bit;
                value_after(operation.kind, state.value)
                    .is_some_and(|value| self.can_finish(State { done, value }))
            })
    }
}

/// What the key holds after an operation; `None` if the operation can't have been answered so at
/// this value.
fn value_after(kind: OperationKind, value: Option<u64>) -> Option<Option<u64>> {
    match kind {
        OperationKind::Write(new) => Some(Some(new)),
        OperationKind::CompareAndSwap {
            expected,
            new,
            swapped,
        } => {
            let matches = value == Some(expected);
            let next = if matches { Some(new) } else { value };
            swapped.is_none_or(|s| s == matches).then_some(next)
        }
        OperationKind::Read(seen) => (seen == value).then_some(value),
    }
}

//! Checks histories of operations on single keys for linearizability, by the algorithm of Wing and
//! Gong.
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

/// The maximum number of operations in one history, one for each bit of the search's state.
pub const MAX_OPERATIONS: usize = 128;

/// An operation on a key, which holds a number or nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OperationKind {
    /// Sets the key to this number, whatever it holds.
    Write(u64),
    /// Sets the key if it holds the expected value.
    CompareAndSwap {
        /// The value that the key has to hold before the swap.
        expected: u64,
        /// The value that the key holds after the swap.
        new: u64,
        /// Whether the key was set; `None` if the answer is unknown.
        swapped: Option<bool>,
    },
    /// Reads the key and returns the value, or `None` if it holds nothing.
    Read(Option<u64>),
}

/// One operation of a client, with the time span in which it can have taken effect.
#[derive(Debug, Clone)]
pub struct Operation {
    /// The key that was read or written.
    pub key: u64,
    /// The kind of the operation, with its arguments and answer.
    pub kind: OperationKind,
    /// The time at which the client sent the operation, in microseconds.
    pub started_at: u64,
    /// The time at which the client got the answer, in microseconds. `None` if the outcome is
    /// unknown: the operation may take effect at any time after its start, or never.
    pub finished_at: Option<u64>,
}

/// Returns the first [`MAX_OPERATIONS`] operations on a key, sorted by the time at which they
/// started.
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
/// Panics if there are more than [`MAX_OPERATIONS`] operations.
#[must_use]
pub fn is_linearizable(operations: &[Operation]) -> bool {
    let count = operations.len();
    assert!(
        count <= MAX_OPERATIONS,
        "the history has {count} operations, the maximum is {MAX_OPERATIONS}"
    );
    Search {
        operations,
        visited: HashSet::new(),
    }
    .can_finish(State::default())
}

/// A state of the search: the operations that have taken effect, as a bit set, and the value of the
/// key after them.
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
    /// Whether some order of the remaining operations explains their answers.
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
        // The next operation can't have started after another remaining operation had finished.
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

/// Returns the value of the key after an operation. Returns `None` if the operation's answer is
/// impossible for the value that the key held before it.
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

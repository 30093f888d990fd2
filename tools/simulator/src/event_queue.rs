//! A queue that returns events by time; events at the same time are returned in the order in which
//! they were added.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use violetgate_membership::Micros;

#[derive(Debug, Clone)]
struct Entry<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    /// The earliest entry is the greatest, since the heap returns the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// The pending events of a simulation.
#[derive(Debug, Clone)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    next_number: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            next_number: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event at a simulated time.
    pub fn push(&mut self, at: Micros, event: E) {
        self.heap.push(Entry {
            at,
            number: self.next_number,
            event,
        });
        self.next_number += 1;
    }

    /// Removes and returns the next event if its time is not after `until`.
    pub fn pop_until(&mut self, until: Micros) -> Option<(Micros, E)> {
        if self.heap.peek().is_none_or(|entry| entry.at > until) {
            return None;
        }
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }

    /// Moves all events that are later than `after` to the time `to`. They then occur in the order
    /// in which they were added.
    pub fn reschedule_after(&mut self, after: Micros, to: Micros) {
        let mut entries = std::mem::take(&mut self.heap).into_vec();
        for entry in entries.iter_mut().filter(|entry| entry.at > after) {
            entry.at = to;
        }
        self.heap = entries.into();
    }
}

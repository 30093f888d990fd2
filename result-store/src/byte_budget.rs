//! A memory budget in bytes. The owner of reserved bytes holds a [`ByteReservation`], which returns
//! them to the budget when it is dropped.

use std::cell::Cell;
use std::rc::Rc;

/// A memory budget in bytes. Clones share the same budget.
#[derive(Debug, Clone)]
pub struct ByteBudget(Rc<Usage>);

#[derive(Debug)]
struct Usage {
    capacity: Cell<usize>,
    reserved: Cell<usize>,
}

/// A number of bytes reserved from a [`ByteBudget`], until the reservation is dropped.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        ByteBudget(Rc::new(Usage {
            capacity: Cell::new(capacity),
            reserved: Cell::new(0),
        }))
    }

    /// Changes the capacity. Existing reservations stay valid, even if they exceed it.
    pub fn resize(&self, capacity: usize) {
        self.0.capacity.set(capacity);
    }

    /// Reserves `bytes`. Returns `None` if fewer are available.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<ByteReservation> {
        let reserved = self.reserved().checked_add(bytes)?;
        if reserved > self.capacity() {
            return None;
        }
        self.0.reserved.set(reserved);
        Some(ByteReservation {
            budget: self.clone(),
            bytes,
        })
    }

    /// Returns the number of bytes reserved now.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.0.reserved.get()
    }

    /// Returns the maximum of all reservations together, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.0.capacity.get()
    }
}

impl ByteReservation {
    /// Reduces the reservation to `bytes` and returns the rest to the budget. Does nothing if the
    /// reservation is not larger than `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let returned = self.bytes.saturating_sub(bytes);
        self.bytes -= returned;
        let reserved = self.budget.reserved() - returned;
        self.budget.0.reserved.set(reserved);
    }

    /// Returns the size of the reservation in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

#[cfg(test)]
mod tests;

//! A budget of bytes. Whatever occupies bytes holds a [`ByteReservation`], which returns them when
//! it is dropped.

use std::cell::Cell;
use std::rc::Rc;

/// A budget of bytes; clones share it.
#[derive(Debug, Clone)]
pub struct ByteBudget(Rc<Usage>);

#[derive(Debug)]
struct Usage {
    capacity: Cell<usize>,
    reserved: Cell<usize>,
}

/// Bytes reserved from a budget.
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

    /// Changes the capacity. Reservations beyond it stay valid.
    pub fn resize(&self, capacity: usize) {
        self.0.capacity.set(capacity);
    }

    /// Reserves bytes; `None` if fewer are available.
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

    /// Bytes that are reserved now.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.0.reserved.get()
    }

    /// Bytes that may be reserved together.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.0.capacity.get()
    }
}

impl ByteReservation {
    /// Returns what exceeds `bytes` to the budget. A reservation never grows.
    pub fn shrink(&mut self, bytes: usize) {
        let returned = self.bytes.saturating_sub(bytes);
        self.bytes -= returned;
        let reserved = self.budget.reserved() - returned;
        self.budget.0.reserved.set(reserved);
    }

    /// Bytes that are reserved.
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

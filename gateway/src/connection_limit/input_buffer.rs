//! The input of a connection that is read and not handled yet. Its memory can be reclaimed for other
//! connections.

use std::cell::{Cell, RefCell};

use violetgate_memory_budget::{BudgetExhausted, Charge, MemoryBudget, Purpose};

/// The buffer is reduced to its content if it has more unused capacity than this.
const MAX_UNUSED_BYTES: usize = 4 * 1024;

/// Input that is read and not handled yet.
pub struct InputBuffer {
    bytes: RefCell<Vec<u8>>,
    /// The size of the buffer that a parser has in addition, in bytes.
    parser_bytes: Cell<usize>,
    charge: Charge,
}

impl InputBuffer {
    pub(super) fn new(memory: &MemoryBudget) -> Self {
        InputBuffer {
            bytes: RefCell::default(),
            parser_bytes: Cell::new(0),
            charge: memory.empty_charge(Purpose::Input),
        }
    }

    /// Calls `look` with the input. `look` must not change the input.
    pub fn with<R>(&self, look: impl FnOnce(&[u8]) -> R) -> R {
        look(&self.bytes.borrow())
    }

    /// Returns the number of bytes that are held.
    pub fn len(&self) -> usize {
        self.bytes.borrow().len()
    }

    /// Returns whether no input is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes. The buffer may grow to twice its size, but not beyond `message_size` unless
    /// the bytes need it.
    ///
    /// # Errors
    ///
    /// Fails, and appends nothing, if the bytes do not fit into the memory budget or the input was
    /// reclaimed. The connection then has to end.
    pub fn append(&self, bytes: &[u8], message_size: usize) -> Result<(), BudgetExhausted> {
        let capacity = self.capacity_for(bytes.len(), message_size);
        self.charge.resize(capacity + self.parser_bytes.get())?;
        let mut held = self.bytes.borrow_mut();
        let additional = capacity - held.len();
        held.reserve_exact(additional);
        held.extend_from_slice(bytes);
        Ok(())
    }

    /// Sets the size of the buffer that a parser has in addition, in bytes.
    ///
    /// # Errors
    ///
    /// Fails as [`InputBuffer::append`] does.
    pub fn set_parser_bytes(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        let capacity = self.bytes.borrow().capacity();
        self.charge.resize(capacity + bytes)?;
        self.parser_bytes.set(bytes);
        Ok(())
    }

    /// Whether so many further bytes, which could also be read later, can be held without making
    /// memory short for others.
    pub fn has_spare_memory(&self, bytes: usize) -> bool {
        let capacity = self.capacity_for(bytes, usize::MAX) + self.parser_bytes.get();
        let additional = capacity.saturating_sub(self.charge.bytes());
        self.charge.has_spare(additional)
    }

    /// Removes the first `size` bytes and returns them.
    pub fn take_front(&self, size: usize) -> Vec<u8> {
        let mut held = self.bytes.borrow_mut();
        let size = size.min(held.len());
        let rest = held.split_off(size);
        let front = std::mem::replace(&mut *held, rest);
        drop(held);
        self.reduce_charge();
        front
    }

    /// Removes the first `size` bytes.
    pub fn discard_front(&self, size: usize) {
        let mut held = self.bytes.borrow_mut();
        let size = size.min(held.len());
        held.drain(..size);
        if held.is_empty() || held.capacity() - held.len() > MAX_UNUSED_BYTES {
            held.shrink_to_fit();
        }
        drop(held);
        self.reduce_charge();
    }

    /// Returns the number of bytes that are charged.
    pub(super) fn charged_bytes(&self) -> usize {
        self.charge.bytes()
    }

    /// Drops the input for good. Nothing can be appended from then on.
    pub(super) fn reclaim(&self) {
        self.charge.revoke();
        self.bytes.take();
    }

    fn capacity_for(&self, additional: usize, message_size: usize) -> usize {
        let held = self.bytes.borrow();
        let needed = held.len() + additional;
        if needed <= held.capacity() {
            return held.capacity();
        }
        needed.max(message_size.min(held.capacity() * 2))
    }

    fn reduce_charge(&self) {
        // A smaller charge always fits.
        let capacity = self.bytes.borrow().capacity();
        let _ = self.charge.resize(capacity + self.parser_bytes.get());
    }
}

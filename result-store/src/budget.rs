//! A budget of bytes. What holds bytes holds a [`Grant`] for them; dropped, it gives them back.

use std::cell::Cell;
use std::rc::Rc;

/// A budget, shared by all that hold of it.
#[derive(Debug, Clone)]
pub struct Budget(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    most: Cell<usize>,
    held: Cell<usize>,
}

/// Bytes held of a budget.
#[derive(Debug)]
pub struct Grant {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// A budget of `most` bytes.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Budget(Rc::new(Inner {
            most: Cell::new(most),
            held: Cell::new(0),
        }))
    }

    /// Changes the budget. What is held beyond it stays held: nothing promised is taken back.
    pub fn resize(&self, most: usize) {
        self.0.most.set(most);
    }

    /// Holds bytes; `None`: so many are not left.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<Grant> {
        let held = self
            .0
            .held
            .get()
            .checked_add(bytes)
            .filter(|held| *held <= self.0.most.get())?;
        self.0.held.set(held);
        Some(Grant {
            budget: self.clone(),
            bytes,
        })
    }

    /// Bytes held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.held.get()
    }

    /// The budget.
    #[must_use]
    pub fn most(&self) -> usize {
        self.0.most.get()
    }
}

impl Grant {
    /// Gives back what is held beyond `bytes`. It never grows: more needs a grant of its own.
    pub fn shrink(&mut self, bytes: usize) {
        let back = self.bytes.saturating_sub(bytes);
        self.bytes -= back;
        self.budget.0.held.set(self.budget.0.held.get() - back);
    }

    /// Bytes held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

#[cfg(test)]
#[allow(clippy::unwrap_used)]
mod tests {
    use super::*;

    /// Held bytes never pass the budget but where it was cut, and all come back.
    #[test]
    fn what_is_granted_comes_back() {
        let budget = Budget::new(100);
        let mut one = budget.reserve(60).unwrap();
        assert!(budget.reserve(41).is_none() && budget.reserve(usize::MAX).is_none());
        one.shrink(20);
        one.shrink(50);
        assert_eq!((one.bytes(), budget.held()), (20, 20));
        let two = budget.reserve(80).unwrap();
        budget.resize(10);
        assert!(budget.held() == 100 && budget.reserve(1).is_none());
        drop((one, two));
        assert_eq!(budget.held(), 0);
    }
}

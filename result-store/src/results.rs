//! Results whose pages are promised: to whoever holds the token, until the client's own give-up time.
//!
//! A result is whole when it comes here, so that a page never depends on the engine that made it. Its bytes were
//! reserved before its query was admitted, and nothing but its time or its client takes it away: a full budget
//! turns new queries away, it never evicts.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use crate::token::{Sealer, Token};
use crate::{Budget, Grant, Micros, Wheel};

/// What results may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all results together.
    pub bytes: usize,
    /// Bytes of one result at most, which are reserved before its query is admitted.
    pub one: usize,
    /// Results held at a time.
    pub results: usize,
}

/// Why there is no such page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Missing {
    /// No token of this process, or no page of that number.
    Unknown,
    /// The token was good; its time is over, or its client has deleted it.
    Gone,
}

/// The place of a result that is not here yet. Dropped, as when its query got none, it is free again.
#[derive(Debug)]
pub struct Place {
    grant: Grant,
    expected: Rc<Cell<usize>>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.expected.set(self.expected.get().saturating_sub(1));
    }
}

/// All results that are promised, of pages `P`.
#[derive(Debug)]
pub struct Results<P> {
    sealer: Sealer,
    budget: Budget,
    limits: Limits,
    held: HashMap<u64, Held<P>>,
    wheel: Wheel<u64>,
    next: u64,
    /// Queries admitted whose result is not here yet.
    expected: Rc<Cell<usize>>,
}

#[derive(Debug)]
struct Held<P> {
    token: Token,
    pages: Rc<P>,
    _place: Place,
}

impl<P> Results<P> {
    /// Holds nothing yet.
    #[must_use]
    pub fn new(sealer: Sealer, limits: Limits, now: Micros) -> Self {
        let (held, wheel) = (HashMap::new(), Wheel::new(now));
        let (budget, expected) = (Budget::new(limits.bytes), Rc::default());
        Results {
            sealer,
            budget,
            limits,
            held,
            wheel,
            next: 0,
            expected,
        }
    }

    /// Changes the limits. What is promised stays.
    pub fn limit(&mut self, limits: Limits) {
        self.limits = limits;
        self.budget.resize(limits.bytes);
    }

    /// The budget of bytes.
    #[must_use]
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Results that are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Reserves the place of one result, before its query is admitted.
    ///
    /// # Errors
    ///
    /// There is no room; the span after which the first of those that are held has ended.
    pub fn reserve(&mut self, now: Micros) -> Result<Place, Micros> {
        self.expire(now);
        let grant = (self.held.len() + self.expected.get() < self.limits.results)
            .then(|| self.budget.reserve(self.limits.one))
            .flatten();
        let Some(grant) = grant else {
            return Err(self.wheel.next().map_or(0, |at| at.saturating_sub(now)));
        };
        self.expected.set(self.expected.get() + 1);
        Ok(Place {
            grant,
            expected: Rc::clone(&self.expected),
        })
    }

    /// Promises a result of so many bytes, whose place was reserved, until a moment: its token. `query` and
    /// `attempt` name what made it.
    pub fn promise(
        &mut self,
        pages: Rc<P>,
        bytes: usize,
        mut place: Place,
        (query, attempt): (u64, u32),
        until: Micros,
    ) -> String {
        place.grant.shrink(bytes);
        // From now on it counts as held.
        place.expected.set(place.expected.get().saturating_sub(1));
        place.expected = Rc::default();
        self.next += 1;
        let token = Token {
            result: self.next,
            query,
            attempt,
            until,
        };
        self.wheel.insert(until, token.result);
        let text = self.sealer.seal(&token);
        self.held.insert(
            token.result,
            Held {
                token,
                pages,
                _place: place,
            },
        );
        text
    }

    /// The result that a token stands for.
    ///
    /// # Errors
    ///
    /// It is not held.
    pub fn find(&self, now: Micros, text: &str) -> Result<(Rc<P>, Token), Missing> {
        let token = self.sealer.open(text);
        // Looked up in any case, so that a forged token takes as long as a good one.
        let held = self.held.get(&token.map_or(0, |t| t.result));
        let token = token.ok_or(Missing::Unknown)?;
        // At its moment a result is gone, whether the wheel has come to it yet or not.
        match held.filter(|h| h.token == token && now < token.until) {
            Some(held) => Ok((Rc::clone(&held.pages), token)),
            None => Err(Missing::Gone),
        }
    }

    /// Takes a result away before its time, as its client asks.
    ///
    /// # Errors
    ///
    /// It is not held.
    pub fn delete(&mut self, now: Micros, text: &str) -> Result<(), Missing> {
        let (_, token) = self.find(now, text)?;
        self.held.remove(&token.result);
        Ok(())
    }

    /// Takes away what has come to its end. How many there were.
    pub fn expire(&mut self, now: Micros) -> usize {
        let before = self.held.len();
        let held = &mut self.held;
        self.wheel.advance(now, |result| {
            held.remove(&result);
        });
        before - self.held.len()
    }

    /// When the next one may come to its end.
    #[must_use]
    pub fn next_end(&self) -> Option<Micros> {
        self.wheel.next()
    }
}

//! Idempotency keys: which are taken, who waits for them, and what answers a repeat.
//!
//! A key is taken from its first query on until its class's window after that query's end. While it runs, repeats
//! join it; served, they get the recorded answer; refused, the key is free at once, since nothing ran; where the
//! outcome is unknown, a repeat may run again only while engines still discard a second one. The table is
//! bounded: full, it turns new keys away and never forgets a live one.

use std::collections::HashMap;

use crate::{Micros, Wheel};

/// What has to be the same in every query of one key; a digest made by the caller.
pub type Print = [u8; 16];

/// What a query of a key meets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen<A> {
    /// Nothing that counts: run it. Its end is owed to [`Keys::ended`], or to [`Keys::left`].
    Run,
    /// An earlier one runs: it gets the same answer.
    Join,
    /// An earlier one was served: this answer.
    Replay(A),
    /// The key is taken by another query.
    Differs,
    /// The outcome of an earlier one is unknown, and a second might have its effect twice.
    Unsure,
    /// The table is full, or too many wait for this key. After this span there may be room.
    Full(Micros),
}

/// How the one query that ran for a key ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending<A> {
    /// Served.
    Served(A),
    /// Turned away: it surely had no effect.
    Harmless,
    /// It may have had its effect.
    Unknown,
}

#[derive(Debug)]
enum State<W, A> {
    Running(Vec<W>),
    Served(A),
    Unknown,
}

#[derive(Debug)]
struct Taken<W, A> {
    print: Print,
    /// When the first query of the key came: engines discard repeats for the window from then on at least.
    first: Micros,
    window: Micros,
    /// Until when it is kept, once it does not run.
    until: Micros,
    /// Which of all that took this key.
    serial: u64,
    state: State<W, A>,
}

/// The table. Waiters are named by `W`; recorded answers are `A`.
#[derive(Debug)]
pub struct Keys<W, A> {
    most: usize,
    /// How many may wait for one key.
    joined: usize,
    serial: u64,
    taken: HashMap<Box<str>, Taken<W, A>>,
    wheel: Wheel<(Box<str>, u64)>,
}

impl<W: PartialEq, A: Clone> Keys<W, A> {
    /// An empty table for `most` keys, for each of which `joined` may wait.
    #[must_use]
    pub fn new(most: usize, joined: usize, now: Micros) -> Self {
        Keys {
            most,
            joined: joined.max(1),
            serial: 0,
            taken: HashMap::new(),
            wheel: Wheel::new(now),
        }
    }

    /// Changes how many keys there may be. Those that are taken stay.
    pub fn resize(&mut self, most: usize) {
        self.most = most;
    }

    /// Keys that are taken.
    #[must_use]
    pub fn len(&self) -> usize {
        self.taken.len()
    }

    /// Whether none is taken.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.taken.is_empty()
    }

    /// A query of a key has come; `window` is for how long its class's engines discard a repeat.
    pub fn begin(
        &mut self,
        now: Micros,
        key: &str,
        print: Print,
        window: Micros,
        waiter: W,
    ) -> Seen<A> {
        self.expire(now);
        if let Some(taken) = self.taken.get_mut(key) {
            // A key that ends this very moment is not live any more, whether the wheel has come to it or not.
            if !matches!(taken.state, State::Running(_)) && taken.until <= now {
                self.taken.remove(key);
            } else {
                return taken.meet(now, print, waiter, self.joined);
            }
        }
        if self.taken.len() >= self.most {
            return Seen::Full(self.wheel.next().map_or(0, |at| at.saturating_sub(now)));
        }
        self.serial += 1;
        let (first, serial, state) = (now, self.serial, State::Running(vec![waiter]));
        self.taken.insert(
            key.into(),
            Taken {
                print,
                first,
                window,
                until: Micros::MAX,
                serial,
                state,
            },
        );
        Seen::Run
    }

    /// The query that runs for a key has ended: all that wait for it.
    pub fn ended(&mut self, now: Micros, key: &str, ending: Ending<A>) -> Vec<W> {
        let Some(taken) = self.taken.get_mut(key) else {
            return Vec::new();
        };
        let State::Running(waiters) = &mut taken.state else {
            return Vec::new();
        };
        let waiters = std::mem::take(waiters);
        let state = match ending {
            Ending::Served(answer) => State::Served(answer),
            Ending::Unknown => State::Unknown,
            Ending::Harmless => {
                // Another run before this one may have had its effect: then the key is no freer than before.
                if taken.until == Micros::MAX {
                    self.taken.remove(key);
                    return waiters;
                }
                State::Unknown
            }
        };
        taken.state = state;
        taken.until = now.saturating_add(taken.window);
        self.wheel.insert(taken.until, (key.into(), taken.serial));
        waiters
    }

    /// One that waits has left. True: it was the last, and the query is to be withdrawn; its outcome is unknown
    /// from now on.
    pub fn left(&mut self, now: Micros, key: &str, waiter: &W) -> bool {
        let Some(Taken {
            state: State::Running(waiters),
            ..
        }) = self.taken.get_mut(key)
        else {
            return false;
        };
        let before = waiters.len();
        waiters.retain(|w| w != waiter);
        let last = before > 0 && waiters.is_empty();
        if last {
            self.ended(now, key, Ending::Unknown);
        }
        last
    }

    /// Forgets the keys whose window is over. How many there were.
    pub fn expire(&mut self, now: Micros) -> usize {
        let before = self.taken.len();
        let taken = &mut self.taken;
        self.wheel.advance(now, |(key, serial)| {
            // One that was taken anew meanwhile, or runs again, has an end of its own.
            let over = |t: &Taken<W, A>| {
                t.serial == serial && t.until <= now && !matches!(t.state, State::Running(_))
            };
            if taken.get(&key).is_some_and(over) {
                taken.remove(&key);
            }
        });
        before - self.taken.len()
    }
}

impl<W: PartialEq, A: Clone> Taken<W, A> {
    fn meet(&mut self, now: Micros, print: Print, waiter: W, joined: usize) -> Seen<A> {
        if self.print != print {
            return Seen::Differs;
        }
        match &mut self.state {
            State::Running(waiters) if waiters.len() >= joined => Seen::Full(0),
            State::Running(waiters) => {
                waiters.push(waiter);
                Seen::Join
            }
            State::Served(answer) => Seen::Replay(answer.clone()),
            // Engines discard a second one only for so long after the first.
            State::Unknown if now < self.first.saturating_add(self.window) => {
                self.state = State::Running(vec![waiter]);
                Seen::Run
            }
            State::Unknown => Seen::Unsure,
        }
    }
}

#[cfg(test)]
#[allow(clippy::indexing_slicing)]
mod tests {
    use super::*;

    const W: Micros = 12_000_000;
    const P: Print = [1; 16];

    fn keys() -> Keys<u32, &'static str> {
        Keys::new(2, 2, 0)
    }

    /// While it runs repeats join, up to a bound; after it they get its answer for the window; then it is new.
    #[test]
    fn a_repeat_joins_then_replays_then_runs_anew() {
        let mut k = keys();
        assert_eq!(k.begin(0, "a", P, W, 1), Seen::Run);
        assert_eq!(k.begin(1, "a", P, W, 2), Seen::Join);
        assert_eq!(k.begin(1, "a", P, W, 3), Seen::Full(0));
        assert_eq!(k.begin(1, "a", [2; 16], W, 3), Seen::Differs);
        assert_eq!(k.ended(5, "a", Ending::Served("rows")), [1, 2]);
        assert_eq!(k.begin(W + 4, "a", P, W, 4), Seen::Replay("rows"));
        assert_eq!(k.begin(W + 4, "a", [2; 16], W, 4), Seen::Differs);
        assert_eq!(k.begin(W + 5, "a", P, W, 5), Seen::Run);
    }

    /// A refusal frees the key at once; an unknown outcome lets it run again while engines discard a second
    /// one, and no longer; a refusal of the second run does not make the first one harmless.
    #[test]
    fn what_may_have_run_is_repeated_only_within_the_window() {
        let mut k = keys();
        k.begin(0, "a", P, W, 1);
        k.ended(1, "a", Ending::Harmless);
        assert!(k.is_empty());
        k.begin(10, "a", P, W, 1);
        assert_eq!(k.ended(W - 10, "a", Ending::Unknown), [1]);
        assert_eq!(k.begin(W - 5, "a", P, W, 2), Seen::Run);
        assert_eq!(k.ended(W - 4, "a", Ending::Harmless), [2]);
        assert_eq!(k.begin(W + 9, "a", P, W, 3), Seen::Run);
        k.ended(W + 9, "a", Ending::Unknown);
        assert_eq!(k.begin(W + 10, "a", P, W, 4), Seen::Unsure);
        assert_eq!(k.begin(2 * W + 9, "a", P, W, 4), Seen::Run);
    }

    /// The query goes on while anybody waits for it; with the last it is withdrawn, and may have run.
    #[test]
    fn the_last_to_leave_withdraws() {
        let mut k = keys();
        k.begin(0, "a", P, W, 1);
        k.begin(0, "a", P, W, 2);
        assert!(!k.left(1, "a", &1) && !k.left(1, "a", &1) && !k.left(1, "b", &2));
        assert!(k.left(2, "a", &2) && !k.left(2, "a", &2));
        assert!(k.ended(3, "a", Ending::Served("late")).is_empty());
        assert_eq!(k.begin(4, "a", P, W, 3), Seen::Run);
    }

    /// A full table takes no new key, tells when there may be room, and forgets none that is live.
    #[test]
    fn a_full_table_forgets_nothing() {
        let mut k = keys();
        k.begin(0, "a", P, W, 1);
        k.begin(0, "b", P, W, 2);
        k.ended(0, "b", Ending::Served("b"));
        let Seen::Full(wait) = k.begin(1, "c", P, W, 3) else {
            unreachable!("full")
        };
        assert!(wait <= W + 2_000);
        assert_eq!(k.begin(W - 1, "b", P, W, 4), Seen::Replay("b"));
        assert_eq!(k.begin(3 * W, "c", P, W, 5), Seen::Run);
        assert_eq!(k.begin(3 * W, "a", P, W, 6), Seen::Join);
    }
}

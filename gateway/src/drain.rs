//! The door: whether clients are let in, and whether they may stay. All fronts ask the same one.

use std::cell::Cell;

use violetgate_policy::interface::Micros;

/// Once told to drain, requests are still served for this long: the front hears of it after 0.2 s, and what it has
/// sent by then may be on its way.
const SERVED: Micros = 1_000_000;
/// And connections are left open for this long, so that what comes meanwhile finds one.
const HEARD: Micros = 300_000;

/// Whether clients are let in, and whether they may stay. None leaves with a request read, or half read.
#[derive(Default)]
pub struct DrainState {
    /// Since when it drains.
    since: Cell<Option<Micros>>,
    handed_over: Cell<bool>,
    /// Nothing may be sent from here.
    fenced: Cell<bool>,
}

impl DrainState {
    /// Another process takes over: connections end from now on.
    pub fn hand_over(&self) {
        self.handed_over.set(true);
    }

    /// Drains: clients are to go elsewhere. A repeat changes nothing.
    pub fn quiesce(&self, now: Micros) {
        self.since.set(Some(self.since.get().unwrap_or(now)));
    }

    /// Takes clients again.
    pub fn resume(&self) {
        self.since.set(None);
    }

    /// Nothing may be sent from here, or again: clients had better go elsewhere, and may come back at any time.
    pub fn fence(&self, shut: bool) {
        self.fenced.set(shut);
    }

    /// The answer to the question whether this front end takes work is no.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.since.get().is_some() || self.fenced.get()
    }

    /// New requests are turned back. The first ones after the call are served: those who send them can't have
    /// heard of it.
    #[must_use]
    pub fn turns_back(&self, now: Micros) -> bool {
        self.since.get().is_some_and(|since| now >= since + SERVED)
    }

    /// Why connections end once they are answered or idle, if they do.
    #[must_use]
    pub fn sends_home(&self, now: Micros) -> Option<&'static str> {
        match self.since.get() {
            _ if self.handed_over.get() => Some("handed_over"),
            Some(since) if now >= since + HEARD => Some("drained"),
            _ => None,
        }
    }
}

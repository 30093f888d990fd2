//! Whether clients are let in and may stay connected. All client protocols share one
//! [`DrainState`].

use std::cell::Cell;

use violetgate_policy::interface::Micros;

/// How long requests are still served after a drain has begun: load balancers notice it after 0.2
/// s, and what they have sent by then may be on its way.
const REJECT_REQUESTS_AFTER_US: Micros = 1_000_000;
/// How long connections are left open after a drain has begun, so that what arrives meanwhile finds
/// one.
const CLOSE_CONNECTIONS_AFTER_US: Micros = 300_000;

/// Whether this process drains, hands over to another one, or is fenced off.
///
/// No connection is closed with a request read, or partly read.
#[derive(Default)]
pub struct DrainState {
    /// When the drain began, in microseconds since the Unix epoch.
    draining_since: Cell<Option<Micros>>,
    handed_over: Cell<bool>,
    /// Nothing may be sent upstream from here.
    fenced: Cell<bool>,
}

impl DrainState {
    /// Another process takes over: connections are closed from now on.
    pub fn hand_over(&self) {
        self.handed_over.set(true);
    }

    /// Begins a drain: clients are to connect elsewhere. A second call changes nothing.
    pub fn start_draining(&self, now: Micros) {
        let since = self.draining_since.get().unwrap_or(now);
        self.draining_since.set(Some(since));
    }

    /// Ends a drain: clients are let in again.
    pub fn stop_draining(&self) {
        self.draining_since.set(None);
    }

    /// Sets whether nothing may be sent upstream from here; clients should go elsewhere meanwhile.
    pub fn set_fenced(&self, fenced: bool) {
        self.fenced.set(fenced);
    }

    /// Whether this instance reports that it takes no requests, so that load balancers and clients go
    /// elsewhere. It does so before [`DrainState::rejects_requests`]: what comes meanwhile is served.
    #[must_use]
    pub fn reports_unavailable(&self) -> bool {
        self.draining_since.get().is_some() || self.fenced.get()
    }

    /// Whether new requests are rejected. The first ones after the start of a drain are served:
    /// those who send them can't have noticed it yet.
    #[must_use]
    pub fn rejects_requests(&self, now: Micros) -> bool {
        let since = self.draining_since.get();
        since.is_some_and(|since| now >= since + REJECT_REQUESTS_AFTER_US)
    }

    /// Why connections are closed once they are answered or idle; `None`: they stay open.
    #[must_use]
    pub fn close_reason(&self, now: Micros) -> Option<&'static str> {
        match self.draining_since.get() {
            _ if self.handed_over.get() => Some("handed_over"),
            Some(since) if now >= since + CLOSE_CONNECTIONS_AFTER_US => Some("drained"),
            _ => None,
        }
    }
}

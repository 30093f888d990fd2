//! Whether clients may send requests and stay connected. All client protocols of a process share
//! one [`DrainState`].

use std::cell::Cell;

use violetgate_policy::interface::Micros;

/// How long requests are still served after the start of a drain, in microseconds. Load balancers
/// notice the drain after 0.2 s, and requests that they sent before that may still arrive.
const REJECT_REQUESTS_AFTER_US: Micros = 1_000_000;
/// How long connections stay open after the start of a drain, in microseconds, so that requests
/// which arrive in that time find an open connection.
const CLOSE_CONNECTIONS_AFTER_US: Micros = 300_000;

/// Whether this process is draining, is handing over to another process, or is fenced.
///
/// Neither a drain nor a handover closes a connection while a request on it has been read, or
/// partly read, and is not answered yet. The fence closes no connections.
#[derive(Default)]
pub struct DrainState {
    /// When the drain began, in microseconds since the Unix epoch.
    draining_since: Cell<Option<Micros>>,
    handed_over: Cell<bool>,
    /// Whether this process must not send anything upstream.
    fenced: Cell<bool>,
}

impl DrainState {
    /// Records that another process takes over. Connections are closed from now on.
    pub fn hand_over(&self) {
        self.handed_over.set(true);
    }

    /// Begins a drain, so that clients connect elsewhere. A second call changes nothing.
    pub fn start_draining(&self, now: Micros) {
        let since = self.draining_since.get().unwrap_or(now);
        self.draining_since.set(Some(since));
    }

    /// Ends a drain, so that clients may connect and send requests again.
    pub fn stop_draining(&self) {
        self.draining_since.set(None);
    }

    /// Sets whether this process must not send anything upstream. While that is so, clients should
    /// use another instance.
    pub fn set_fenced(&self, fenced: bool) {
        self.fenced.set(fenced);
    }

    /// Returns whether this instance reports itself as unavailable, so that load balancers and
    /// clients use another one. A draining instance reports this before it rejects requests (see
    /// [`DrainState::rejects_requests`]); requests that arrive in between are served.
    #[must_use]
    pub fn reports_unavailable(&self) -> bool {
        self.draining_since.get().is_some() || self.fenced.get()
    }

    /// Returns whether new requests are rejected because of a drain. Requests shortly after its
    /// start are still served, because their senders can't have noticed it yet.
    #[must_use]
    pub fn rejects_requests(&self, now: Micros) -> bool {
        let since = self.draining_since.get();
        since.is_some_and(|since| now >= since + REJECT_REQUESTS_AFTER_US)
    }

    /// Returns the reason code with which connections are closed once they are idle or their
    /// requests are answered. `None`: they stay open.
    #[must_use]
    pub fn close_reason(&self, now: Micros) -> Option<&'static str> {
        match self.draining_since.get() {
            _ if self.handed_over.get() => Some("handed_over"),
            Some(since) if now >= since + CLOSE_CONNECTIONS_AFTER_US => Some("drained"),
            _ => None,
        }
    }
}

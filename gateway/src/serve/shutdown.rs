//! Shuts the process down: keeps serving for a while, drains, and answers the requests that are
//! still open before the platform sends SIGKILL.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::{Async, Timer};

use super::assembly::GatewayParts;
use crate::postgres::sessions::Sessions;
use crate::rest::RestFrontend;
use crate::sibling_process::ProcessMark;

/// How long new clients are still accepted after SIGTERM or SIGINT at a planned restart, because
/// new requests still arrive for this long.
const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(700);
/// How long after the longest request deadline the platform sends SIGKILL. The deadline is counted
/// from SIGTERM.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// The longest request deadline for which the platform waits at a planned restart. A longer one
/// counts as this.
const MAX_DEADLINE_AT_RESTART: Duration = Duration::from_secs(3);
/// The longest request deadline for which the platform waits when another process takes over. A
/// longer one counts as this.
const MAX_DEADLINE_AT_UPGRADE: Duration = Duration::from_secs(5);
/// Requests that are still open this long before SIGKILL are answered, so that the process ends by
/// itself.
const MARGIN_BEFORE_KILL: Duration = Duration::from_millis(300);
/// The interval between checks whether the shutdown is complete.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long connections may take to close after all requests are answered, or after the time limit
/// for requests.
const MAX_CLOSE_TIME: Duration = Duration::from_millis(200);

/// The tasks that accept clients, with their listeners.
pub(super) struct Accepting {
    sessions: Rc<Sessions>,
    listener: Rc<Async<TcpListener>>,
    task: Task<()>,
    rest: Option<AcceptingRest>,
}

struct AcceptingRest {
    front_end: Rc<RestFrontend>,
    listener: Rc<Async<TcpListener>>,
    task: Task<()>,
}

impl Accepting {
    /// Starts the tasks that accept PostgreSQL and REST clients.
    pub(super) fn start(
        gateway: &GatewayParts,
        listener: Rc<Async<TcpListener>>,
        rest_listener: Option<Rc<Async<TcpListener>>>,
    ) -> Self {
        let executor = &gateway.executor;
        let sessions = Rc::clone(&gateway.sessions);
        let task = executor.spawn(Rc::clone(&sessions).listen(Rc::clone(&listener)));
        let rest = gateway.rest.clone().zip(rest_listener);
        let rest = rest.map(|(front_end, listener)| AcceptingRest {
            task: executor.spawn(Rc::clone(&front_end).listen(Rc::clone(&listener))),
            front_end,
            listener,
        });
        Accepting {
            sessions,
            listener,
            task,
            rest,
        }
    }

    /// Closes the listeners. Connections that the kernel has already queued for them are served
    /// here. If another process listens on the same addresses, it gets all later connections.
    async fn stop(self) {
        self.task.cancel().await;
        self.sessions.close_listener(self.listener);
        if let Some(rest) = self.rest {
            rest.task.cancel().await;
            rest.front_end.close_listener(rest.listener);
        }
    }
}

/// Why the process shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShutdownReason {
    /// No other process runs: a planned restart.
    Restart,
    /// Another process runs and takes over.
    Upgrade,
}

/// A shutdown in progress.
pub(super) struct Shutdown<'a> {
    gateway: &'a GatewayParts,
    reason: ShutdownReason,
    started_at: Instant,
    /// Whether the requests that were still open at the time limit have been answered.
    has_answered_open: bool,
    /// When the shutdown began to close idle connections, after all requests were answered. `None`
    /// if it has not begun, or if another request has arrived since.
    answered_since: Option<Instant>,
}

impl<'a> Shutdown<'a> {
    pub(super) fn begin(gateway: &'a GatewayParts, mark: &ProcessMark) -> Self {
        let reason = if mark.has_sibling() {
            ShutdownReason::Upgrade
        } else {
            ShutdownReason::Restart
        };
        Shutdown {
            gateway,
            reason,
            started_at: Instant::now(),
            has_answered_open: false,
            answered_since: None,
        }
    }

    /// Serves until the shutdown is complete.
    pub(super) async fn run(mut self, accepting: Accepting) {
        if self.reason == ShutdownReason::Restart {
            Timer::after(ACCEPT_AFTER_SIGNAL).await;
        }
        accepting.stop().await;
        if self.reason == ShutdownReason::Upgrade {
            self.gateway.drain.hand_over();
        }
        while !self.advance() {
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    /// Returns how long requests may stay open, counted from the signal.
    fn time_limit(&self) -> Duration {
        let max_deadline = match self.reason {
            ShutdownReason::Restart => MAX_DEADLINE_AT_RESTART,
            ShutdownReason::Upgrade => MAX_DEADLINE_AT_UPGRADE,
        };
        let deadline = self.gateway.longest_deadline.min(max_deadline);
        deadline + KILL_AFTER_DEADLINE - MARGIN_BEFORE_KILL
    }

    /// Takes the next step of the shutdown. Returns whether it is complete: no request, PostgreSQL
    /// connection or sticky REST connection is left, or their time limit has passed.
    fn advance(&mut self) -> bool {
        let sessions = &self.gateway.sessions;
        let rest = self.gateway.rest.as_ref();
        let busy =
            sessions.busy_count() + rest.map_or(0, |rest| rest.requests_and_sticky_connections());
        let open = busy + sessions.len() + sessions.lingering();
        let overdue = self.started_at.elapsed().saturating_sub(self.time_limit());
        if open == 0 || overdue > MAX_CLOSE_TIME {
            return true;
        }
        if !overdue.is_zero() && !self.has_answered_open {
            self.has_answered_open = true;
            self.gateway.dispatch.shut_down();
        }
        if busy > 0 {
            self.answered_since = None;
        } else if self.reason == ShutdownReason::Restart || self.has_answered_open {
            // All requests are answered. Idle connections are closed before the process ends,
            // because a reset at its end could destroy the last answer, or a request that is just
            // arriving. A connection with an incomplete message is reset when `MAX_CLOSE_TIME` is
            // over.
            let since = *self.answered_since.get_or_insert_with(Instant::now);
            if since.elapsed() > MAX_CLOSE_TIME {
                return true;
            }
            sessions.close_idle("shutdown");
        }
        false
    }
}

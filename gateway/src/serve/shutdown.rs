//! The end of the process: it serves on for a while, drains, and answers what is still open in
//! time.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::{Async, Timer};

use super::assembly::GatewayParts;
use crate::postgres::sessions::Sessions;
use crate::rest::RestFrontend;
use crate::sibling_process::ProcessMark;

/// After SIGTERM new requests still arrive for this long.
const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(700);
/// SIGKILL comes so long after the longest deadline, counted from SIGTERM ...
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// ... which counts as at most this at a planned restart, and as this where another process takes
/// over.
const MAX_DEADLINE_AT_RESTART: Duration = Duration::from_secs(3);
const MAX_DEADLINE_AT_UPGRADE: Duration = Duration::from_secs(5);
/// What is still open this long before SIGKILL is answered, so that the program ends by itself.
const MARGIN_BEFORE_KILL: Duration = Duration::from_millis(300);
/// How often the end is looked for, and how long it may take once all is answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
const MAX_CLOSE_TIME: Duration = Duration::from_millis(200);

/// The tasks that accept clients.
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
    /// Begins to accept clients.
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

    /// Closes the listeners. Where another process listens too, it gets all that arrives from now
    /// on; what has arrived is served here.
    async fn stop(self) {
        self.task.cancel().await;
        self.sessions.close_listener(self.listener);
        if let Some(rest) = self.rest {
            rest.task.cancel().await;
            rest.front_end.close_listener(rest.listener);
        }
    }
}

/// Why the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Occasion {
    /// It is to be started again.
    Restart,
    /// Another process takes over.
    Upgrade,
}

/// The end of the process.
pub(super) struct Shutdown<'a> {
    gateway: &'a GatewayParts,
    occasion: Occasion,
    begun: Instant,
    /// Open requests were answered, as their time is over.
    has_answered_open: bool,
    /// Since when all is answered.
    answered_since: Option<Instant>,
}

impl<'a> Shutdown<'a> {
    pub(super) fn begin(gateway: &'a GatewayParts, mark: &ProcessMark) -> Self {
        let occasion = if mark.has_sibling() {
            Occasion::Upgrade
        } else {
            Occasion::Restart
        };
        Shutdown {
            gateway,
            occasion,
            begun: Instant::now(),
            has_answered_open: false,
            answered_since: None,
        }
    }

    /// Serves up to the end.
    pub(super) async fn run(mut self, accepting: Accepting) {
        if self.occasion == Occasion::Restart {
            Timer::after(ACCEPT_AFTER_SIGNAL).await;
        }
        accepting.stop().await;
        if self.occasion == Occasion::Upgrade {
            self.gateway.drain.hand_over();
        }
        while !self.advance() {
            Timer::after(CHECK_INTERVAL).await;
        }
    }

    /// How long requests may stay open, counted from the signal.
    fn time_limit(&self) -> Duration {
        let max_deadline = match self.occasion {
            Occasion::Restart => MAX_DEADLINE_AT_RESTART,
            Occasion::Upgrade => MAX_DEADLINE_AT_UPGRADE,
        };
        let deadline = self.gateway.longest_deadline.min(max_deadline);
        deadline + KILL_AFTER_DEADLINE - MARGIN_BEFORE_KILL
    }

    /// Takes one step towards the end; whether it has come.
    fn advance(&mut self) -> bool {
        let sessions = &self.gateway.sessions;
        let rest = self.gateway.rest.as_ref();
        let busy = sessions.busy_count() + rest.map_or(0, |rest| rest.busy_or_sticky());
        let open = busy + sessions.len() + sessions.lingering();
        let overdue = self.begun.elapsed().saturating_sub(self.time_limit());
        if open == 0 || overdue > MAX_CLOSE_TIME {
            return true;
        }
        if !overdue.is_zero() && !self.has_answered_open {
            self.has_answered_open = true;
            self.gateway.dispatch.shut_down();
        }
        if busy > 0 {
            self.answered_since = None;
        } else if self.occasion == Occasion::Restart || self.has_answered_open {
            // All is answered. Idle connections are closed one by one, so that what arrives just
            // then, and what was written last, is not destroyed by a reset; one with an incomplete
            // message is cut off.
            let since = *self.answered_since.get_or_insert_with(Instant::now);
            if since.elapsed() > MAX_CLOSE_TIME {
                return true;
            }
            sessions.close_idle("shutdown");
        }
        false
    }
}

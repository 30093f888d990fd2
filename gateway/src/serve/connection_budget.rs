//! How many connections clients and engines may have, alone and beside another process of this
//! gateway.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use crate::log;
use crate::postgres::sessions::Sessions;
use crate::rest::RestFrontend;
use crate::settings;
use crate::sibling_process::ProcessMark;
use crate::upstream::pool::Pool;

/// How often another process is looked for.
const SIBLING_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What this process is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessRole {
    /// It runs alone.
    Alone,
    /// It was started beside another process, which is still here.
    Successor,
    /// Another process was started beside it.
    Predecessor,
}

impl ProcessRole {
    /// The role of a process that has just started.
    pub(super) fn at_start(mark: &ProcessMark) -> Self {
        if mark.has_sibling() {
            ProcessRole::Successor
        } else {
            ProcessRole::Alone
        }
    }

    fn next(self, mark: &ProcessMark) -> Self {
        match self {
            _ if !mark.has_sibling() => ProcessRole::Alone,
            ProcessRole::Alone => ProcessRole::Predecessor,
            role => role,
        }
    }
}

/// How many connections there may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionBudget {
    /// Of PostgreSQL clients.
    pub postgres: usize,
    /// Of REST clients.
    pub rest: usize,
    /// To engines.
    pub engines: usize,
}

impl ConnectionBudget {
    /// The budget of a process that may hold `max_sockets` descriptors.
    ///
    /// Engines get a quarter and clients a half; the rest is for the program itself, for management
    /// and for connections that linger in their close. Two processes beside each other stay within
    /// `max_sockets` together: clients get 9/16 of it and engines 4/15. Usual clients hold a third of it at most, and soon all of them
    /// are with the successor: a limit that is too low for them would reject, or evict, those that
    /// have just connected.
    pub(super) fn for_role(
        max_sockets: usize,
        role: ProcessRole,
        rest: Option<&settings::Rest>,
    ) -> Self {
        let (clients, engines) = match role {
            ProcessRole::Alone => (max_sockets / 2, max_sockets / 4),
            ProcessRole::Successor => (max_sockets * 3 / 8, max_sockets / 6),
            ProcessRole::Predecessor => (max_sockets * 3 / 16, max_sockets / 10),
        };
        let rest = rest.map_or(0, |rest| rest.max_connections.min(clients / 2));
        ConnectionBudget {
            postgres: clients - rest,
            rest,
            engines,
        }
    }
}

/// Applies the budget of this process's role, for ever.
pub(super) struct BudgetKeeper {
    pub mark: Rc<ProcessMark>,
    pub role: ProcessRole,
    pub max_sockets: usize,
    pub sessions: Rc<Sessions>,
    /// The REST front end, and its settings at the start.
    pub rest: Option<(Rc<RestFrontend>, settings::Rest)>,
    pub pool: Rc<Pool>,
}

impl BudgetKeeper {
    pub(super) async fn run(mut self) {
        loop {
            Timer::after(SIBLING_CHECK_INTERVAL).await;
            let role = self.role.next(&self.mark);
            if role != self.role {
                self.role = role;
                self.apply();
            }
        }
    }

    fn apply(&self) {
        let rest_settings = self.rest.as_ref().map(|(_, settings)| settings);
        let budget = ConnectionBudget::for_role(self.max_sockets, self.role, rest_settings);
        log::write_line(format_args!(
            "violetgate is {}: at most {} clients and {} engine connections",
            if self.role == ProcessRole::Alone {
                "alone"
            } else {
                "joined by another process"
            },
            budget.postgres + budget.rest,
            budget.engines
        ));
        self.sessions.resize(budget.postgres);
        if let Some((rest, _)) = &self.rest {
            rest.resize(budget.rest);
        }
        self.pool.resize(budget.engines);
    }
}

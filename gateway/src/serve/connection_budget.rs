//! Limits the connections of clients and engines, so that this process does not exceed its limit on
//! file descriptors, or its share of that limit while another process of this gateway runs.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use crate::log;
use crate::postgres::sessions::Sessions;
use crate::rest::RestFrontend;
use crate::settings;
use crate::sibling_process::ProcessMark;
use crate::upstream::pool::Pool;

/// The interval between checks for a sibling, which is another process of this gateway.
const SIBLING_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Whether this process runs alone, or takes part in an upgrade, during which two processes of one
/// gateway run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessRole {
    /// No other process runs.
    Alone,
    /// This process was started while another one ran, and the other one still runs.
    Successor,
    /// Another process was started while this one ran, and the other one still runs.
    Predecessor,
}

impl ProcessRole {
    /// Returns the role of a process that has just started.
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

/// The maximum numbers of connections of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionBudget {
    /// Connections of PostgreSQL clients.
    pub postgres: usize,
    /// Connections of REST clients.
    pub rest: usize,
    /// Connections to engines.
    pub engines: usize,
}

impl ConnectionBudget {
    /// Returns the budget of a process that may hold `max_sockets` descriptors.
    ///
    /// A process that runs alone gives a quarter to engines and a half to clients. The rest is for
    /// the program itself, for management and for connections that linger while they close.
    ///
    /// Two processes stay within `max_sockets` together: clients get 3/8 + 3/16 = 9/16 of it, and
    /// engines 1/6 + 1/10 = 4/15. The successor gets the larger part, because clients usually hold
    /// at most a third of `max_sockets` and soon all of them are connected to the successor. A
    /// lower limit would make it reject or evict clients that have just connected.
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

/// Applies the connection budget of this process's role whenever the role changes.
pub(super) struct BudgetKeeper {
    pub mark: Rc<ProcessMark>,
    pub role: ProcessRole,
    pub max_sockets: usize,
    pub sessions: Rc<Sessions>,
    /// The REST front end, and the settings with which it was started.
    pub rest: Option<(Rc<RestFrontend>, settings::Rest)>,
    pub pool: Rc<Pool>,
}

impl BudgetKeeper {
    /// Follows the role of this process. Never returns.
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

//! Limits the connections of clients and engines and the memory that peers can make this process
//! hold, so that it does not exceed its limits on file descriptors and memory, or its share of them
//! while another process of this gateway runs.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use violetgate_memory_budget::MemoryBudget;

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

/// The limits that the platform sets for all processes of this gateway together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PlatformLimits {
    /// The maximum number of file descriptors.
    pub sockets: usize,
    /// The maximum resident memory in bytes.
    pub memory_bytes: u64,
}

/// The maximum numbers of connections of this process, and the memory that peers can make it hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProcessBudget {
    /// Connections of PostgreSQL clients.
    pub postgres: usize,
    /// Connections of REST clients.
    pub rest: usize,
    /// Connections to engines.
    pub engines: usize,
    /// Memory that peers can make this process hold, in bytes.
    pub memory_bytes: usize,
}

impl ProcessBudget {
    /// Returns the budget of a process within these limits.
    ///
    /// A process that runs alone gives a quarter to engines and a half to clients. The rest is for
    /// the program itself, for management and for connections that linger while they close.
    ///
    /// Two processes stay within the limit of descriptors together: clients get 3/8 + 3/16 = 9/16 of it, and
    /// engines 1/6 + 1/10 = 4/15. The successor gets the larger part, because clients usually hold
    /// at most a third of the descriptors and soon all of them are connected to the successor. A
    /// lower limit would make it reject or evict clients that have just connected.
    ///
    /// Of the memory, three eighths are for what peers can make a process hold that runs alone, and
    /// 3/16 + 1/8 = 5/16 for that of two processes. The rest is for the programs themselves, which
    /// need it twice during an upgrade, and for what the allocator can't use.
    pub(super) fn for_role(
        limits: PlatformLimits,
        role: ProcessRole,
        rest: Option<&settings::Rest>,
    ) -> Self {
        let sockets = limits.sockets;
        let memory = usize::try_from(limits.memory_bytes).unwrap_or(usize::MAX);
        let (clients, engines, memory_bytes) = match role {
            ProcessRole::Alone => (sockets / 2, sockets / 4, memory / 8 * 3),
            ProcessRole::Successor => (sockets * 3 / 8, sockets / 6, memory / 16 * 3),
            ProcessRole::Predecessor => (sockets * 3 / 16, sockets / 10, memory / 8),
        };
        let rest = rest.map_or(0, |rest| rest.max_connections.min(clients / 2));
        ProcessBudget {
            postgres: clients - rest,
            rest,
            engines,
            memory_bytes,
        }
    }
}

/// Applies the connection budget of this process's role whenever the role changes.
pub(super) struct BudgetKeeper {
    pub mark: Rc<ProcessMark>,
    pub role: ProcessRole,
    pub limits: PlatformLimits,
    pub sessions: Rc<Sessions>,
    /// The REST front end, and the settings with which it was started.
    pub rest: Option<(Rc<RestFrontend>, settings::Rest)>,
    pub pool: Rc<Pool>,
    pub memory: MemoryBudget,
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
        let budget = ProcessBudget::for_role(self.limits, self.role, rest_settings);
        log::write_line(format_args!(
            "violetgate is {}: at most {} clients, {} engine connections and {} bytes for their data",
            if self.role == ProcessRole::Alone {
                "alone"
            } else {
                "joined by another process"
            },
            budget.postgres + budget.rest,
            budget.engines,
            budget.memory_bytes
        ));
        self.memory.resize(budget.memory_bytes);
        self.sessions.resize(budget.postgres);
        if let Some((rest, _)) = &self.rest {
            rest.resize(budget.rest);
        }
        self.pool.resize(budget.engines);
    }
}

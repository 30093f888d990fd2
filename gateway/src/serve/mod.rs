//! `violetgate serve`: starts the gateway, serves, and shuts down at a signal.
//!
//! Nothing here decides about a request: `violetgate-policy` chooses engines, retries and rejects.

mod assembly;
mod error;
mod listeners;
mod memory_monitor;
mod process_budget;
mod reload;
mod shared_files;
mod shutdown;

use std::path::Path;
use std::rc::Rc;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use crate::admin::operations::{GatewayOperations, OperationTargets};
use crate::admin::Admin;
use crate::clock::Clock;
use crate::config::Config;
use crate::cordon_file::CordonFile;
use crate::log;
use crate::replication::{ApiServer, Participant};
use crate::settings::Settings;
use crate::sibling_process::ProcessMark;
use assembly::GatewayParts;
use listeners::Listeners;
use process_budget::{BudgetKeeper, PlatformLimits, ProcessBudget, ProcessRole};
use reload::Reloader;
use shutdown::{Accepting, Shutdown};

pub use error::StartError;

/// Runs the gateway until SIGTERM or SIGINT, and shuts it down. `settings_file` is the file that
/// `settings` were read from, which is read again at SIGHUP. The log must have been started.
///
/// # Errors
///
/// Fails if the gateway can't start; the error names the variable, file or key at fault.
pub fn run(settings: &Settings, settings_file: Option<&Path>) -> Result<(), StartError> {
    let clock = Clock::start();
    let config = Config::from_env()?;
    let listeners = Listeners::bind(&config, settings)?;
    let mark = Rc::new(shared_files::process_mark(&config.listen));
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let signals = signals.map_err(StartError::Signals)?;
    let role = ProcessRole::at_start(&mark);
    let limits = PlatformLimits {
        sockets: config.max_sockets,
        memory_bytes: config.max_memory_bytes,
    };
    let budget = ProcessBudget::for_role(limits, role, settings.rest.as_ref());
    let gateway = GatewayParts::assemble(clock, config, settings, budget)?;
    start_budget_keeper(&gateway, &mark, role, limits, settings);
    start_front_end_tasks(&gateway);
    start_cluster(&gateway, listeners.cluster_api);
    let operations = start_operations(&gateway);
    let accepting = Accepting::start(&gateway, listeners.postgres, listeners.rest);
    if let Some(listener) = listeners.management {
        let admin = Admin::new(
            Rc::clone(&gateway.executor),
            clock,
            operations,
            gateway.memory.clone(),
        );
        gateway.executor.spawn(admin.listen(listener)).detach();
    }
    log_start(&gateway, settings);
    let reloader = Reloader {
        discovery: Rc::clone(&gateway.discovery),
        settings_file: settings_file.map(Path::to_path_buf),
        rest: gateway.rest.clone(),
        participant: gateway.participant.clone(),
    };
    let executor = Rc::clone(&gateway.executor);
    async_io::block_on(executor.run(serve(&gateway, &mark, signals, reloader, accepting)));
    if let Some(fleet) = &gateway.fleet {
        fleet.leave();
    }
    log::write_line("violetgate ended");
    Ok(())
}

/// Serves until SIGTERM or SIGINT, and then runs the shutdown.
async fn serve(
    gateway: &GatewayParts,
    mark: &ProcessMark,
    mut signals: Signals,
    reloader: Reloader,
    accepting: Accepting,
) {
    let signal = loop {
        match signals.next().await {
            Some(Ok(Signal::Hup)) => reloader.reload(),
            Some(Ok(Signal::Int)) => break "SIGINT",
            _ => break "SIGTERM",
        }
    };
    let rest = gateway.rest.as_ref();
    let open = gateway.sessions.busy_count()
        + rest.map_or(0, |rest| rest.requests_and_sticky_connections());
    log::write_line(format_args!(
        "violetgate ends after {signal}: {open} requests open"
    ));
    // The gateway still serves during the shutdown, so SIGHUP has to work until the end, for
    // example to change the bus's address.
    gateway
        .executor
        .spawn(reload_on_hangup(signals, reloader))
        .detach();
    Shutdown::begin(gateway, mark).run(accepting).await;
}

async fn reload_on_hangup(mut signals: Signals, reloader: Reloader) {
    while let Some(signal) = signals.next().await {
        if matches!(signal, Ok(Signal::Hup)) {
            reloader.reload();
        }
    }
}

/// Starts the task that applies the connection budget of this process's role.
fn start_budget_keeper(
    gateway: &GatewayParts,
    mark: &Rc<ProcessMark>,
    role: ProcessRole,
    limits: PlatformLimits,
    settings: &Settings,
) {
    let keeper = BudgetKeeper {
        mark: Rc::clone(mark),
        role,
        limits,
        sessions: Rc::clone(&gateway.sessions),
        rest: gateway.rest.clone().zip(settings.rest.clone()),
        pool: Rc::clone(&gateway.pool),
        memory: gateway.memory.clone(),
    };
    gateway.executor.spawn(keeper.run()).detach();
}

/// Starts the tasks that close idle client connections, log the use of memory and remove expired
/// REST results.
fn start_front_end_tasks(gateway: &GatewayParts) {
    let sessions = Rc::clone(&gateway.sessions);
    gateway
        .executor
        .spawn(async move { sessions.close_idle_while_draining().await })
        .detach();
    let monitor = memory_monitor::log_memory_levels(gateway.memory.clone());
    gateway.executor.spawn(monitor).detach();
    if let Some(rest) = gateway.rest.clone() {
        gateway
            .executor
            .spawn(async move { rest.sweep().await })
            .detach();
    }
}

/// Starts to apply the cluster's shared configuration. A member also serves the cluster API.
fn start_cluster(
    gateway: &GatewayParts,
    api_listener: Option<async_io::Async<std::net::TcpListener>>,
) {
    let Some(participant) = &gateway.participant else {
        return;
    };
    participant.attach(&gateway.executor, gateway.control_targets());
    if let (Participant::Member(member), Some(listener)) = (participant, api_listener) {
        let executor = Rc::clone(&gateway.executor);
        let memory = gateway.memory.clone();
        let api = ApiServer::new(Rc::clone(member), executor, gateway.clock, memory);
        gateway.executor.spawn(api.listen(listener)).detach();
    }
}

/// Creates the operations of the management interface, and starts the task that follows the cordon
/// file.
fn start_operations(gateway: &GatewayParts) -> Rc<GatewayOperations> {
    let targets = OperationTargets {
        discovery: Rc::clone(&gateway.discovery),
        engine_ids: Rc::clone(&gateway.engine_ids),
        dispatch: Rc::clone(&gateway.dispatch),
        drain: Rc::clone(&gateway.drain),
        stats: Rc::clone(&gateway.stats),
        rest: gateway.rest.clone(),
        cordon_file: CordonFile::new(shared_files::cordon_path(&gateway.listen)),
        cluster: gateway.participant.clone(),
        fleet: gateway.fleet.clone(),
        memory: gateway.memory.clone(),
    };
    let operations = GatewayOperations::new(gateway.clock, targets);
    let follower = Rc::clone(&operations);
    gateway
        .executor
        .spawn(async move { follower.follow_cordon_file().await })
        .detach();
    operations
}

fn log_start(gateway: &GatewayParts, settings: &Settings) {
    let name = &gateway.name;
    log::write_line(format_args!(
        "violetgate {name} listens on {}",
        gateway.listen
    ));
    if let Some(rest) = &settings.rest {
        log::write_line(format_args!(
            "violetgate {name} listens on {} for REST",
            rest.listen
        ));
    }
    if let Some(cluster) = &settings.cluster {
        log::write_line(format_args!("violetgate {name} {}", cluster.description()));
    }
}

//! `violetgate serve`: puts the parts together, serves, and leaves when it is told to.
//!
//! It must never decide about a request: which server, whether to retry and what to reject is the module's.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use violetgate_policy::interface::ListScope;
use violetgate_result_store::{ResultCache, TokenSealer};

use crate::admin::operations::{OperationTargets, Operations};
use crate::admin::Admin;
use crate::clock::Clock;
use crate::config::Config;
use crate::cordon_file::CordonFile;
use crate::discovery::{DiscoveryClient, DiscoverySource, EngineIds};
use crate::dispatch::Dispatch;
use crate::drain::DrainState;
use crate::exchange::{AttemptEvents, ListedEngine, RequestSink, UpstreamEngines};
use crate::fleet::Fleet;
use crate::idempotency::IdempotencyLayer;
use crate::postgres::sessions::Sessions;
use crate::replication::{self, Participant};
use crate::rest::{self, Rest};
use crate::settings::{self, ClusterRole, Settings};
use crate::sibling_process::ProcessMark;
use crate::stats::Stats;
use crate::upstream::pool::Pool;
use crate::{log, net};

/// After SIGTERM new requests go on coming for this long.
const STAY: Duration = Duration::from_millis(700);
/// SIGKILL comes so long after the longest deadline, counted from SIGTERM ...
const SPARE: Duration = Duration::from_millis(700);
/// ... which is counted as at most this at a planned restart, and as this where another process takes over.
const RESTART: Duration = Duration::from_secs(3);
const UPGRADE: Duration = Duration::from_secs(5);
/// What is still open this long before SIGKILL is answered, so that the program ends by itself.
const MARGIN: Duration = Duration::from_millis(300);
/// How often another process is looked for.
const BESIDE: Duration = Duration::from_millis(50);
/// How often the end is looked for, and how long it may take once all is answered.
const LOOK: Duration = Duration::from_millis(10);
const LAST: Duration = Duration::from_millis(200);

/// How many connections clients and engines may have.
struct Share {
    /// Of PostgreSQL clients.
    clients: usize,
    /// Of REST clients.
    rest: usize,
    engines: usize,
}

impl Share {
    /// Of the descriptors, engines get a quarter, clients a half; the rest is for the program itself, for
    /// management and for connections that are just being closed. Two processes that run beside each other
    /// stay within one's limit together. Usual clients hold a third of it at most, and soon all of them are with
    /// the new process: a room that is too small for them turns away, or cuts off, those that have just come.
    fn of(sockets: usize, part: ProcessRole, rest: Option<&settings::Rest>) -> Self {
        let (clients, engines) = match part {
            ProcessRole::Alone => (sockets / 2, sockets / 4),
            ProcessRole::Successor => (sockets * 3 / 8, sockets / 6),
            ProcessRole::Predecessor => (sockets * 3 / 16, sockets / 10),
        };
        let rest = rest.map_or(0, |r| r.max_connections.min(clients / 2));
        Share {
            clients: clients - rest,
            rest,
            engines,
        }
    }
}

/// What this process is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProcessRole {
    Alone,
    /// It was started beside another, which is still here.
    Successor,
    /// Another was started beside it.
    Predecessor,
}

/// What is held to a share.
struct Held {
    sessions: Rc<Sessions>,
    rest: Option<(Rc<Rest>, settings::Rest)>,
    pool: Rc<Pool>,
}

/// Keeps, for ever, to the share of the limits that is this process's.
async fn keep_share(presence: &ProcessMark, mut was: ProcessRole, sockets: usize, held: Held) {
    loop {
        Timer::after(BESIDE).await;
        let part = match was {
            _ if !presence.other() => ProcessRole::Alone,
            ProcessRole::Alone => ProcessRole::Predecessor,
            was => was,
        };
        if part != was {
            was = part;
            let share = Share::of(sockets, part, held.rest.as_ref().map(|r| &r.1));
            log::line(format_args!(
                "violetgate is {}: at most {} clients and {} engine connections",
                if part == ProcessRole::Alone {
                    "alone"
                } else {
                    "joined by another process"
                },
                share.clients + share.rest,
                share.engines
            ));
            held.sessions.resize(share.clients);
            held.rest
                .iter()
                .for_each(|(rest, _)| rest.resize(share.rest));
            held.pool.resize(share.engines);
        }
    }
}

/// A file in `$TMPDIR`, the only place that the processes of one front end share. Front ends of other addresses
/// may share it too.
fn shared_file(listen: &SocketAddr, what: &str) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty())?;
    Some(Path::new(&folder).join(format!("violetgate-{listen}.{what}")))
}

/// Leaves this process's mark beside those of others of this front end.
fn enter(listen: &SocketAddr) -> ProcessMark {
    let entered = match shared_file(listen, "lock") {
        Some(path) => ProcessMark::enter(&path).map_err(|e| format!("{}: {e}", path.display())),
        None => Err("TMPDIR is not set".to_owned()),
    };
    entered.unwrap_or_else(|e| {
        log::line(format_args!("violetgate takes itself to be alone: {e}"));
        ProcessMark::alone()
    })
}

/// SIGHUP: reads the configuration and the settings anew. Of what they hold, the place of the bus can change in a
/// running program, and the settings that say so; where either can't be used, nothing changes.
fn reload(
    place: &DiscoverySource,
    settings: Option<&Path>,
    rest: Option<&Rest>,
    daemon: Option<&Participant>,
) {
    let read = || Ok::<_, String>((Config::from_env()?, settings::read(settings)?));
    match read() {
        Ok((config, settings)) => {
            log::line(format_args!(
                "violetgate read its configuration again: bus {}",
                config.bus
            ));
            place.move_to(config.bus);
            let settings = daemon.map_or(settings.clone(), |daemon| daemon.own(&settings));
            match (rest, &settings.rest) {
                (Some(rest), Some(settings)) => rest.limit(settings),
                (None, None) => {}
                _ => log::line("violetgate takes the REST front up, or out, at its next start"),
            }
        }
        Err(what) => log::line(format_args!("violetgate keeps its configuration: {what}")),
    }
}

/// Serves until SIGTERM or SIGINT, under the operators' settings and the file that they came from, if any. The
/// log has been started.
///
/// # Errors
///
/// It can't start; the text names the variable, file or field at fault.
pub fn run(settings: &Settings, file: Option<&Path>) -> Result<(), String> {
    let clock = Clock::start();
    let config = Config::from_env()?;
    let bind = |what: &str, addr| net::listen(addr).map_err(|e| format!("{what} {addr}: {e}"));
    let listener = Rc::new(bind("listen", config.listen)?);
    let management = config
        .management
        .map(|addr| bind("management", addr))
        .transpose()?;
    let wanted = settings.rest.as_ref();
    if let Some(r) =
        wanted.filter(|r| [Some(config.listen), config.management].contains(&Some(r.listen)))
    {
        return Err(format!(
            "`rest.listen`: {} is where others connect",
            r.listen
        ));
    }
    let rest_listener = wanted
        .map(|r| bind("rest.listen", r.listen))
        .transpose()?
        .map(Rc::new);
    let given = settings.cluster.as_ref();
    let member = given.filter(|c| c.role == ClusterRole::Member);
    let api_listener = member.map(|c| bind("cluster.api", c.api)).transpose()?;
    let presence = enter(&config.listen);
    let longest = config
        .settings
        .classes
        .iter()
        .filter_map(|c| c.deadline)
        .max();
    let longest = Duration::from_micros(longest.unwrap_or(0));
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|e| format!("signals: {e}"))?;
    let executor = Rc::new(LocalExecutor::new());
    let file = file.map(Path::to_path_buf);

    let part = if presence.other() {
        ProcessRole::Successor
    } else {
        ProcessRole::Alone
    };
    let share = Share::of(config.sockets, part, wanted);
    let stats = Rc::new(Stats::new(
        config.names.classes.iter().map(|c| c.0.as_str()),
    ));
    let counts = Rc::clone(&stats);
    let daemon = given
        .map(|c| Participant::start(&executor, settings, c, config.seed))
        .transpose()?;
    let fence = daemon.as_ref().map(Participant::fence);
    let pool = Pool::new(
        Rc::clone(&executor),
        clock,
        config.link,
        counts,
        fence.clone(),
        share.engines,
    );
    let engines: Rc<dyn UpstreamEngines> = Rc::<Pool>::clone(&pool);
    let gateways = config.settings.gateways.unwrap_or(1);
    let classes = config.settings.classes.clone();
    let dispatch = Dispatch::new(clock, config.settings, config.seed, engines, fence);
    let reports: Rc<dyn AttemptEvents> = Rc::<Dispatch>::clone(&dispatch);
    let reports: Weak<dyn AttemptEvents> = Rc::downgrade(&reports);
    pool.report_to(reports);

    let fleet = settings.fleet.as_ref();
    let fleet = fleet.map(|f| Fleet::start(&executor, f, clock, config.seed, gateways, &dispatch));
    let fleet = fleet.transpose()?.map(Rc::new);

    let ids = Rc::new(EngineIds::default());
    let place = Rc::new(DiscoverySource::new(
        config.bus,
        daemon.as_ref().is_some_and(Participant::keeps_list),
    ));
    let mut bus = DiscoveryClient::new(config.names.clone(), Rc::clone(&ids), Rc::clone(&place));
    let news = Rc::clone(&dispatch);
    let mut tell = move |scope: ListScope, listed: &[ListedEngine]| news.news(scope, listed);
    bus.known(config.known.0, config.known.1, &mut tell);

    // The bus is the first task, so that its news come before requests read in the same turn.
    executor
        .spawn(async move { bus.follow(&mut tell).await })
        .detach();
    let timers = Rc::clone(&dispatch);
    executor
        .spawn(async move { timers.run_timers().await })
        .detach();
    let swept = Rc::clone(&pool);
    executor.spawn(async move { swept.sweep().await }).detach();
    // Cancel keys are drawn apart from the decisions' numbers, and so are ids.
    let draws = |stream| {
        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        rng.set_stream(stream);
        rng
    };
    let door = Rc::new(DrainState::default());
    let decisions: Rc<dyn RequestSink> = Rc::<Dispatch>::clone(&dispatch);
    let front = |settings: &settings::Rest| {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret).map_err(|e| format!("no random numbers for tokens: {e}"))?;
        let sealer = TokenSealer::new(&secret);
        let results = ResultCache::new(sealer, rest::limits(settings), clock.now());
        let (budget, keys) = (results.budget().clone(), settings.idempotency_keys);
        let inner = Rc::clone(&decisions);
        let keyed = IdempotencyLayer::new(inner, Rc::clone(&executor), &classes, budget, keys);
        let core = rest::Core {
            executor: Rc::clone(&executor),
            clock,
            intake: Rc::<IdempotencyLayer>::clone(&keyed),
            names: config.names.clone(),
            stats: Rc::clone(&stats),
            door: Rc::clone(&door),
            results: Rc::new(RefCell::new(results)),
            keyed: Rc::clone(&keyed),
        };
        Ok::<_, String>((Rest::new(core, settings, share.rest, draws(2)), keyed))
    };
    let (rest, keyed) = wanted.map(front).transpose()?.unzip();
    let intake = keyed.map_or(Rc::clone(&decisions), |keyed| keyed);
    let sessions = Sessions::new(
        Rc::clone(&executor),
        intake,
        config.names.clone(),
        Rc::clone(&stats),
        Rc::clone(&door),
        share.clients,
        draws(1),
    );
    let presence = Rc::new(presence);
    let (beside, sockets) = (Rc::clone(&presence), config.sockets);
    let held = Held {
        sessions: Rc::clone(&sessions),
        rest: rest.clone().zip(settings.rest.clone()),
        pool,
    };
    executor
        .spawn(async move { keep_share(&beside, part, sockets, held).await })
        .detach();
    let keeper = Rc::clone(&sessions);
    executor
        .spawn(async move { keeper.keep_door().await })
        .detach();
    if let Some(rest) = rest.clone() {
        executor.spawn(async move { rest.sweep().await }).detach();
    }
    if let Some(daemon) = &daemon {
        let parts = replication::ControlTargets {
            clock,
            dispatch: Rc::clone(&dispatch),
            door: Rc::clone(&door),
            ids: Rc::clone(&ids),
            place: Rc::clone(&place),
            rest: rest.clone(),
        };
        daemon.attach(&executor, parts);
    }
    if let (Some(Participant::Member(member)), Some(listener)) = (&daemon, api_listener) {
        executor
            .spawn(replication::listen(
                Rc::clone(member),
                Rc::clone(&executor),
                listener,
            ))
            .detach();
    }
    let store = CordonFile::new(shared_file(&config.listen, "cordons"));
    let parts = OperationTargets {
        place: Rc::clone(&place),
        ids,
        dispatch: Rc::clone(&dispatch),
        door: Rc::clone(&door),
        stats,
        rest: rest.clone(),
        store,
        daemon: daemon.clone(),
        fleet: fleet.clone(),
    };
    let operations = Operations::new(clock, parts);
    let watch = Rc::clone(&operations);
    executor.spawn(async move { watch.watch().await }).detach();
    let accepting = executor.spawn(Rc::clone(&sessions).listen(Rc::clone(&listener)));
    let rest_accepting = rest.clone().zip(rest_listener).map(|(rest, listener)| {
        let accepting = executor.spawn(Rc::clone(&rest).listen(Rc::clone(&listener)));
        (rest, listener, accepting)
    });
    if let Some(management) = management {
        executor
            .spawn(Admin::new(Rc::clone(&executor), clock, operations).listen(management))
            .detach();
    }
    log::line(format_args!(
        "violetgate {} listens on {}",
        config.name, config.listen
    ));
    if let Some(r) = wanted {
        log::line(format_args!(
            "violetgate {} listens on {} for REST",
            config.name, r.listen
        ));
    }

    if let Some(c) = given {
        log::line(format_args!("violetgate {} {}", config.name, c.part()));
    }

    async_io::block_on(executor.run(async {
        let name = loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => {
                    reload(&place, file.as_deref(), rest.as_deref(), daemon.as_ref())
                }
                Some(Ok(Signal::Int)) => break "SIGINT",
                _ => break "SIGTERM",
            }
        };
        let open = sessions.busy() + rest.as_ref().map_or(0, |r| r.owing());
        log::line(format_args!(
            "violetgate ends after {name}: {open} requests open"
        ));
        // It goes on serving, and a bus that moves now is still followed.
        let (reloaded, member) = (rest.clone(), daemon.clone());
        executor
            .spawn(async move {
                while let Some(signal) = signals.next().await {
                    if matches!(signal, Ok(Signal::Hup)) {
                        reload(
                            &place,
                            file.as_deref(),
                            reloaded.as_deref(),
                            member.as_ref(),
                        );
                    }
                }
            })
            .detach();
        let begun = Instant::now();
        let upgrade = presence.other();
        if !upgrade {
            Timer::after(STAY).await;
        }
        // Where another process listens too, it gets all that comes from now on; what has come is served here.
        accepting.cancel().await;
        sessions.shut(listener);
        if let Some((rest, listener, accepting)) = rest_accepting {
            accepting.cancel().await;
            rest.shut(listener);
        }
        if upgrade {
            door.hand_over();
        }
        let leave = longest.min(if upgrade { UPGRADE } else { RESTART }) + SPARE - MARGIN;
        let (mut closed, mut resting) = (false, None);
        loop {
            let busy = sessions.busy() + rest.as_ref().map_or(0, |r| r.owing());
            let left = busy + sessions.len() + sessions.closing();
            let late = begun.elapsed().saturating_sub(leave);
            if left == 0 || late > LAST {
                break;
            }
            if !late.is_zero() && !std::mem::replace(&mut closed, true) {
                dispatch.close();
            }
            if busy > 0 {
                resting = None;
            } else if !upgrade || closed {
                // All is answered. Those that rest are closed one by one, so that what comes just then, and what was
                // written last, is not lost in a reset; one that says half of something is cut.
                if resting.get_or_insert_with(Instant::now).elapsed() > LAST {
                    break;
                }
                sessions.dismiss("shutdown");
            }
            Timer::after(LOOK).await;
        }
    }));
    if let Some(fleet) = &fleet {
        fleet.leave();
    }
    log::line("violetgate ended");
    Ok(())
}

//! violetgate: a front end for query engines. Clients speak the PostgreSQL protocol, engines a line
//! protocol; between them the decisions of `linnetreach` admit, hold and place every query.

mod admin;
mod bus;
mod client;
mod clock;
mod config;
mod dispatch;
mod engine;
mod exchange;
mod log;
mod net;
mod operations;
mod presence;
mod room;

use std::path::Path;
use std::process::ExitCode;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use linnetreach::interface::ListScope;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use admin::Admin;
use bus::{Bus, Place};
use client::session::Sessions;
use clock::Clock;
use config::Config;
use dispatch::Dispatch;
use engine::pool::Pool;
use exchange::{Engines, Intake, Listed, Reports};
use operations::Operations;
use presence::Presence;

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

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log::line(format_args!("violetgate: {what}"));
            ExitCode::FAILURE
        }
    }
}

/// How many connections clients and engines may have.
struct Share {
    clients: usize,
    engines: usize,
}

impl Share {
    /// Of the descriptors, engines get a quarter, clients a half; the rest is for the program itself, for
    /// management and for connections that are just being closed. Two processes that run beside each other
    /// stay within one's limit together; usual clients hold a third of it at most, whichever they are with.
    fn of(sockets: usize, beside: bool) -> Self {
        if beside {
            Share { clients: sockets * 9 / 32, engines: sockets / 8 }
        } else {
            Share { clients: sockets / 2, engines: sockets / 4 }
        }
    }
}

/// Keeps, for ever, to the share of the limits that is this process's.
async fn keep_share(presence: &Presence, sockets: usize, sessions: &Sessions, pool: &Pool) {
    let mut was = false;
    loop {
        let beside = presence.other();
        if beside != was {
            was = beside;
            let share = Share::of(sockets, beside);
            log::line(format_args!(
                "violetgate {}: at most {} clients and {} engine connections",
                if beside { "runs beside another process" } else { "runs alone" },
                share.clients,
                share.engines
            ));
            sessions.resize(share.clients);
            pool.resize(share.engines);
        }
        Timer::after(BESIDE).await;
    }
}

/// Leaves this process's mark in `$TMPDIR`, the only place that two processes of one front end share. Fronts of
/// other addresses may share it too.
fn enter(config: &Config) -> Presence {
    let Some(folder) = std::env::var_os("TMPDIR") else { return Presence::alone() };
    let path = Path::new(&folder).join(format!("violetgate-{}.lock", config.listen));
    Presence::enter(&path).unwrap_or_else(|e| {
        log::line(format_args!("violetgate takes itself to be alone: {}: {e}", path.display()));
        Presence::alone()
    })
}

/// SIGHUP: reads the configuration anew. Of what it holds, only the place of the bus can change in a running
/// program; one that can't be used changes nothing.
fn reload(place: &Place) {
    match Config::from_env() {
        Ok(config) => {
            log::line(format_args!("violetgate read its configuration again: bus {}", config.bus));
            place.move_to(config.bus);
        }
        Err(what) => log::line(format_args!("violetgate keeps its configuration: {what}")),
    }
}

fn run() -> Result<(), String> {
    let clock = Clock::start();
    let config = Config::from_env()?;
    let bind = |what: &str, addr| net::listen(addr).map_err(|e| format!("{what} {addr}: {e}"));
    let listener = Rc::new(bind("listen", config.listen)?);
    let management = config.management.map(|addr| bind("management", addr)).transpose()?;
    let presence = enter(&config);
    let longest = config.settings.classes.iter().filter_map(|c| c.deadline).max();
    let longest = Duration::from_micros(longest.unwrap_or(0));
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("signals: {e}"))?;
    let executor = Rc::new(LocalExecutor::new());

    let alone = Share::of(config.sockets, false);
    let pool = Pool::new(Rc::clone(&executor), clock, config.link, alone.engines);
    let engines: Rc<dyn Engines> = Rc::<Pool>::clone(&pool);
    let dispatch = Dispatch::new(clock, config.settings, config.seed, engines);
    let reports: Rc<dyn Reports> = Rc::<Dispatch>::clone(&dispatch);
    let reports: Weak<dyn Reports> = Rc::downgrade(&reports);
    pool.report_to(reports);

    let mut bus = Bus::new(config.names.clone());
    let news = Rc::clone(&dispatch);
    let mut tell = move |scope: ListScope, listed: &[Listed]| news.news(scope, listed);
    bus.known(config.known.0, config.known.1, &mut tell);

    // The bus is the first task, so that its news come before requests read in the same turn.
    let place = Rc::new(Place::new(config.bus));
    let followed = Rc::clone(&place);
    executor.spawn(async move { bus.follow(&followed, &mut tell).await }).detach();
    let timers = Rc::clone(&dispatch);
    executor.spawn(async move { timers.run_timers().await }).detach();
    let swept = Rc::clone(&pool);
    executor.spawn(async move { swept.sweep().await }).detach();
    // Cancel keys are drawn apart from the decisions' numbers.
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
    rng.set_stream(1);
    let intake: Rc<dyn Intake> = Rc::<Dispatch>::clone(&dispatch);
    let sessions = Sessions::new(Rc::clone(&executor), intake, config.names, alone.clients, rng);
    let presence = Rc::new(presence);
    let (beside, shared, sockets) = (Rc::clone(&presence), Rc::clone(&sessions), config.sockets);
    executor.spawn(async move { keep_share(&beside, sockets, &shared, &pool).await }).detach();
    let door = Rc::clone(&sessions);
    executor.spawn(async move { door.keep_door().await }).detach();
    let accepting = executor.spawn(Rc::clone(&sessions).listen(Rc::clone(&listener)));
    if let Some(management) = management {
        let operations = Rc::new(Operations::new(clock, Rc::clone(&place), Rc::clone(&sessions)));
        executor.spawn(Admin::new(Rc::clone(&executor), clock, operations).listen(management)).detach();
    }
    log::line(format_args!("violetgate {} listens on {}", config.name, config.listen));

    async_io::block_on(executor.run(async {
        let name = loop {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => reload(&place),
                Some(Ok(Signal::Int)) => break "SIGINT",
                _ => break "SIGTERM",
            }
        };
        log::line(format_args!("violetgate ends after {name}: {} requests open", sessions.busy()));
        // It goes on serving, and a bus that moves now is still followed.
        executor
            .spawn(async move {
                while let Some(signal) = signals.next().await {
                    if matches!(signal, Ok(Signal::Hup)) {
                        reload(&place);
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
        if upgrade {
            sessions.hand_over();
        }
        let leave = longest.min(if upgrade { UPGRADE } else { RESTART }) + SPARE - MARGIN;
        let mut closed = false;
        loop {
            if if upgrade { sessions.len() } else { sessions.busy() } == 0 {
                break;
            }
            let late = begun.elapsed().saturating_sub(leave);
            if late > LAST {
                break;
            }
            if !late.is_zero() && !std::mem::replace(&mut closed, true) {
                dispatch.close();
            }
            Timer::after(LOOK).await;
        }
    }));
    log::line("violetgate ended");
    Ok(())
}

//! violetgate: a front end for query engines. Clients speak the PostgreSQL protocol, engines a line
//! protocol; between them the decisions of `linnetreach` admit, hold and place every query.

mod bus;
mod client;
mod clock;
mod config;
mod dispatch;
mod engine;
mod exchange;
mod log;

use std::process::ExitCode;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use linnetreach::interface::ListScope;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

use bus::{Bus, Place};
use client::session::Sessions;
use clock::Clock;
use config::Config;
use dispatch::Dispatch;
use engine::pool::Pool;
use exchange::{Engines, Intake, Listed, Reports};

/// After SIGTERM new requests go on coming for this long.
const STAY: Duration = Duration::from_millis(700);
/// SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more after SIGTERM; what is
/// still open this long after SIGTERM is answered so that the program ends by itself.
const LEAVE: Duration = Duration::from_millis(3_400);
/// How often the end is looked for.
const LOOK: Duration = Duration::from_millis(10);

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            log::line(format_args!("violetgate: {what}"));
            ExitCode::FAILURE
        }
    }
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
    let listener =
        client::session::bind(config.listen).map_err(|e| format!("listen {}: {e}", config.listen))?;
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("signals: {e}"))?;
    let executor = Rc::new(LocalExecutor::new());

    // Of the descriptors, engines get a quarter, clients a half; the rest is for the program itself and for
    // connections that are just being closed.
    let pool = Pool::new(Rc::clone(&executor), clock, config.link, config.sockets / 4);
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
    executor.spawn(async move { pool.sweep().await }).detach();
    // Cancel keys are drawn apart from the decisions' numbers.
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
    rng.set_stream(1);
    let intake: Rc<dyn Intake> = Rc::<Dispatch>::clone(&dispatch);
    let sessions = Sessions::new(Rc::clone(&executor), intake, config.names, config.sockets / 2, rng);
    executor.spawn(Rc::clone(&sessions).listen(listener)).detach();
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
        Timer::after(STAY).await;
        let answered = async {
            while sessions.busy() > 0 {
                Timer::after(LOOK).await;
            }
        };
        let late = async {
            Timer::after(LEAVE - STAY).await;
            dispatch.close();
            while sessions.busy() > 0 {
                Timer::after(LOOK).await;
            }
        };
        let last = async {
            Timer::after(LEAVE - STAY + Duration::from_millis(200)).await;
        };
        answered.or(late).or(last).await;
    }));
    log::line("violetgate ended");
    Ok(())
}

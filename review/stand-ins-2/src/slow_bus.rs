//! The event bus is slow: it begins to answer a new connection after two seconds. From then on each
//! connection gets all events at once, and a line each second.

use std::time::Duration;

use crate::bus::{known, Bus, Listed};
use crate::client::wait_until_ready;
use crate::engine::Engine;
use crate::load::Load;
use crate::support::{
    free_address, note, now_ms, say, sleep_ms, with_trouble, Folder, Gateway, Outcome, Site,
    Verdict,
};

/// How long the bus takes to begin its answer to a new connection.
const FIRST_LINE_AFTER: Duration = Duration::from_secs(2);
/// `rules.drain-grace` of the deployment, in seconds.
const DRAIN_GRACE: f64 = 2.0;
/// What the event bus has to tell counts as told this much later at the latest, in milliseconds.
const TOLD_AFTER_MS: f64 = 7_000.0;
/// What the protocol page adds to each time limit, in milliseconds.
const SLACK_MS: f64 = 50.0;

pub fn run() -> Outcome {
    let folder = Folder::new()?;
    let first_line_after = if with_trouble() {
        FIRST_LINE_AFTER
    } else {
        Duration::ZERO
    };
    let bus = Bus::start(first_line_after)?;
    let engines = [Engine::start("e-1", 60)?, Engine::start("e-2", 60)?];
    let listed = |state: &'static str, engine: &Engine| Listed {
        id: engine.name,
        addr: engine.addr,
        state,
    };
    let first: Vec<Listed> = engines.iter().map(|it| listed("in_service", it)).collect();
    let listen = free_address()?;
    let site = Site {
        drain_grace: DRAIN_GRACE,
    };
    let config = folder.write(
        "config.json",
        &site.config(listen, bus.addr, &known(&first)),
    )?;
    let env = [("PROXY_CONFIG", config.display().to_string())];
    let gateway = Gateway::start(&folder, "n1", &env)?;
    let ready = wait_until_ready(listen, Duration::from_secs(30))?;
    note(&format!("ready after {ready:?}"));
    let load = Load::start(listen, 6, Duration::from_millis(100));
    // Time enough for any number of connections to be answered.
    sleep_ms(8_000);
    let added_at = now_ms();
    bus.add(&[listed("terminating", &engines[0])]);
    sleep_ms(25_000);
    load.stop();
    drop(gateway);
    let limit_ms = TOLD_AFTER_MS + DRAIN_GRACE * 1e3 + SLACK_MS;
    let after: Vec<f64> = engines[0]
        .served()
        .iter()
        .map(|served| served.at_ms - added_at)
        .filter(|age| *age > 0.0)
        .collect();
    let late = after.iter().filter(|age| **age > limit_ms).count();
    let other = engines[1].served().len();
    say(&format!(
        "the gateway made {} connections to the bus; e-1 got {} requests after its drain was in the bus, \
         {late} of them over {limit_ms:.0} ms after, the last {:.0} ms after; e-2 got {other} in all",
        bus.connections(),
        after.len(),
        after.last().copied().unwrap_or(0.0)
    ));
    if engines[0].served().len() == after.len() || other == 0 {
        return Err("an engine got no load".to_owned());
    }
    Ok(if late == 0 {
        Verdict::Kept
    } else {
        Verdict::Broken
    })
}

//! The watch of the event bus falls silent, and an engine begins to drain right after, where drains
//! are to be honoured within 500 ms.

use std::time::Duration;

use crate::bus::{known, Bus, Listed};
use crate::client::wait_until_ready;
use crate::engine::Engine;
use crate::load::Load;
use crate::support::{
    free_address, note, now_ms, say, sleep_ms, with_trouble, Folder, Gateway, Outcome, Site,
    Verdict,
};

/// `rules.drain-grace` of the deployment, in seconds.
const DRAIN_GRACE: f64 = 0.5;
/// What the protocol page adds to each time limit, in milliseconds.
const SLACK_MS: f64 = 50.0;

pub fn run() -> Outcome {
    let folder = Folder::new()?;
    let bus = Bus::start(Duration::ZERO)?;
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
    sleep_ms(4_000);
    // The watch falls silent 0.1 s after a heartbeat, or not at all.
    while !bus
        .since_last_line()
        .is_some_and(|age| (80..200).contains(&age.as_millis()))
    {
        sleep_ms(5);
    }
    if with_trouble() {
        bus.fall_silent();
    }
    sleep_ms(50);
    let told_at = now_ms();
    bus.add(&[listed("terminating", &engines[0])]);
    sleep_ms(6_000);
    load.stop();
    drop(gateway);
    let limit = told_at + DRAIN_GRACE * 1e3 + SLACK_MS;
    let late: Vec<f64> = engines[0]
        .served()
        .iter()
        .filter(|served| served.at_ms > limit)
        .map(|served| served.at_ms - told_at)
        .collect();
    let before = engines[0].served().len() - late.len();
    let other = engines[1].served().len();
    say(&format!(
        "e-1 got {before} requests in time and {} late, e-2 got {other}; limit {:.0} ms after the event",
        late.len(),
        DRAIN_GRACE * 1e3 + SLACK_MS
    ));
    if let Some(last) = late.last() {
        say(&format!(
            "requests were sent to e-1 up to {last:.0} ms after it was told that it drains"
        ));
    }
    if before == 0 || other == 0 {
        return Err("an engine got no load".to_owned());
    }
    Ok(if late.is_empty() {
        Verdict::Kept
    } else {
        Verdict::Broken
    })
}

//! A keyed load is repeated within its window, is held up in the gateway, and must not be sent to
//! an engine once the window is over.

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use violetgate_review::bus::{Bus, Listed};
use violetgate_review::engine::{Engine, Plan, Shared};
use violetgate_review::process::{free_address, Gateway};
use violetgate_review::record::Record;
use violetgate_review::rest::Connection;
use violetgate_review::{pause, settings, trouble, verdict};

/// The window of the class `schedule-load`, and the 50 ms by which each limit is longer on sockets.
const WINDOW: Duration = Duration::from_secs(12);
const SLACK: Duration = Duration::from_millis(50);
const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const OTHER_KEY: &str = "77aa6e1a2b3d4c59a8b7c6d5e4f39999";

fn load(note: &str) -> String {
    format!(
        "{{\"class\":\"schedule-load\",\"tenant\":\"ravi-metro\",\"budget_ms\":18000,\"estimate_ms\":3000,\
         \"estimate_mb\":96,\"order_key\":\"7f3a9c21e0b4d655\",\
         \"statement\":\"INSERT INTO sales_17.plan SELECT * FROM staging.wards WHERE note = '{note}'\"}}"
    )
}

fn run() -> std::io::Result<bool> {
    let record = Record::create()?;
    let trouble = trouble();
    let has_hung = Arc::new(AtomicBool::new(false));
    let shared = {
        let has_hung = Arc::clone(&has_hung);
        Shared::new(&record, WINDOW, move |arrival| {
            let is_first = arrival.statement.contains("first");
            if trouble && is_first && !has_hung.swap(true, Ordering::SeqCst) {
                return Plan::RunAndHang(300);
            }
            Plan::Run(if is_first { 300 } else { 4_500 })
        })
    };
    let engines = ["e-1", "e-2", "e-3"].map(|id| {
        let addr = free_address().expect("a free port");
        Engine::start(id, addr, &shared).expect("an engine")
    });
    let list: Vec<Listed> = engines
        .iter()
        .map(|engine| Listed {
            id: engine.id.clone(),
            addr: engine.addr,
            zone: "lahore-main".to_owned(),
            kind: "old-rack".to_owned(),
            state: "in_service",
            weight: 1,
        })
        .collect();
    let bus = Bus::new("n1", free_address()?, &list, &record);
    bus.go_up()?;
    let mut gateway = Gateway::new("n1", &record)?;
    let rest = free_address()?;
    gateway.configure(bus.addr(), &bus.known(), &settings::lahore(1))?;
    gateway.operator_settings(&format!("rest {{\n  listen = \"{rest}\"\n}}\n"))?;
    gateway.start()?;
    if !gateway.wait_ready(Duration::from_secs(10)) {
        return Err(std::io::Error::other("the gateway is not ready"));
    }
    let timeout = Duration::from_secs(25);

    // The first try. In trouble its engine does the work and then hangs, and the client's line
    // drops after 2 s.
    let mut first = Connection::open(rest, timeout)?;
    let started = record.now();
    record.line("client A: POST the load, key 5c0f...");
    first.post(&load("first"), Some(KEY))?;
    if trouble {
        pause(2_000);
        drop(first);
        record.line("client A: its line drops");
    } else {
        record.line(&format!("client A: got {:?}", first.receive()?));
    }

    // Another load with the same order key, which runs for 4.5 s.
    let at = |ms: u64| {
        let due = started + Duration::from_millis(ms);
        std::thread::sleep(due.saturating_sub(record.now()));
    };
    at(8_500);
    let mut other = Connection::open(rest, timeout)?;
    record.line("client B: POST another load of the same order key");
    other.post(&load("other"), Some(OTHER_KEY))?;

    // Client A returns within the window, as its class allows, and sends the load again.
    at(10_500);
    let mut again = Connection::open(rest, timeout)?;
    record.line("client A: POST the load again, same key");
    again.post(&load("first"), Some(KEY))?;
    record.line(&format!("client B: got {:?}", other.receive()?));
    record.line(&format!("client A: got {:?}", again.receive()?));
    pause(500);

    let arrivals = shared.arrivals.lock().unwrap().clone();
    let sent: Vec<_> = arrivals
        .iter()
        .filter(|a| a.key.as_deref() == Some(KEY))
        .collect();
    let first_sent = sent.first().map(|a| a.at).unwrap_or_default();
    let late: Vec<_> = sent
        .iter()
        .filter(|a| a.at > first_sent + WINDOW + SLACK)
        .collect();
    for arrival in &late {
        let after = (arrival.at - first_sent).as_secs_f64();
        record.say(&format!(
            "sent again {after:.3} s after the first attempt, to {}",
            arrival.engine
        ));
    }
    let effects = shared.effects_of(KEY);
    record.say(&format!(
        "attempts of the key: {}, of them after the window: {}; effects: {effects}",
        sent.len(),
        late.len()
    ));
    gateway.copy_log(&["reason=", "ended"]);
    Ok(late.is_empty() && effects == 1)
}

fn main() -> ExitCode {
    verdict(run)
}

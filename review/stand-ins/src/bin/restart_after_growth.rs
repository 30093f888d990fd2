//! Three gateways share a store. Operators change a hundred small values again and again; then each
//! gateway is killed and started again. It must come back, and every acknowledged value with it.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use violetgate_review::bus::{Bus, Listed};
use violetgate_review::engine::{Engine, Plan, Shared};
use violetgate_review::process::{free_address, Gateway};
use violetgate_review::record::Record;
use violetgate_review::rest::Connection;
use violetgate_review::{pause, settings, trouble, verdict};

/// Changes, the keys that they go to, and the bytes of a value.
const CHANGES: usize = 10_500;
const KEYS: usize = 100;
const VALUE_BYTES: usize = 3_800;
const OPERATORS: usize = 24;
/// A front end that takes longer to be ready has failed (STANDING).
const READY_WITHIN: Duration = Duration::from_secs(30);

type Acknowledged = Arc<Mutex<BTreeMap<String, String>>>;

/// The value of the change with this number: its number and filling.
fn value(number: usize) -> String {
    let mut text = format!("change {number}: ");
    while text.len() < VALUE_BYTES {
        text.push_str("ward calendar, ");
    }
    text.truncate(VALUE_BYTES);
    text
}

/// Makes changes until all are made. Each operator has keys of its own, so the last acknowledged
/// value of a key is known.
fn operate(
    operator: usize,
    api: std::net::SocketAddr,
    next: &AtomicUsize,
    done: &Acknowledged,
    record: &Record,
) {
    let Ok(mut connection) = Connection::open(api, Duration::from_secs(10)) else {
        return;
    };
    let mut turn = 0;
    loop {
        let number = next.fetch_add(1, Ordering::SeqCst);
        if number >= CHANGES {
            return;
        }
        let own = (operator..KEYS).step_by(OPERATORS).collect::<Vec<_>>();
        let key = format!("wards/{:03}", own[turn % own.len()]);
        turn += 1;
        let value = value(number);
        let sent = connection.send("PUT", &format!("/v1/state?key={key}"), &value);
        match sent.and_then(|()| connection.receive()) {
            Ok((200, _)) => {
                record.line(&format!(
                    "operator {operator}: PUT {key} = change {number}: 200"
                ));
                done.lock().unwrap().insert(key, value);
            }
            other => {
                println!("a change was not acknowledged: {other:?}");
                return;
            }
        }
    }
}

/// Reads a key at any of the members, and returns whether it has the value.
fn is_readable(apis: &[std::net::SocketAddr], key: &str, value: &str, record: &Record) -> bool {
    apis.iter().any(|api| {
        let read = || {
            let mut connection = Connection::open(*api, Duration::from_secs(8))?;
            connection.send("GET", &format!("/v1/state?key={key}&within_ms=3000"), "")?;
            connection.receive()
        };
        let answer = read();
        let has_value = matches!(&answer, Ok((200, body)) if body.contains(value));
        let answer = match answer {
            Ok((status, _)) => status.to_string(),
            Err(error) => error.to_string(),
        };
        record.line(&format!(
            "GET {key} at {api}: {answer}, the acknowledged value: {has_value}"
        ));
        has_value
    })
}

fn files(gateway: &Gateway) -> String {
    let mut files: Vec<String> = std::fs::read_dir(gateway.folder.join("state"))
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(|file| {
            Some(format!(
                "{} {}",
                file.file_name().to_string_lossy(),
                file.metadata().ok()?.len()
            ))
        })
        .collect();
    files.sort();
    files.join(", ")
}

fn run() -> std::io::Result<bool> {
    let record = Record::create()?;
    let shared = Shared::new(&record, Duration::from_secs(12), |_| Plan::Run(20));
    let engine = Engine::start("e-1", free_address()?, &shared)?;
    let list = [Listed {
        id: engine.id.clone(),
        addr: engine.addr,
        zone: "lahore-main".to_owned(),
        kind: "old-rack".to_owned(),
        state: "in_service",
        weight: 1,
    }];
    let [links, apis, buses] = [0; 3].map(|_| [0; 3].map(|_| free_address().expect("a free port")));
    let members: Vec<String> = links
        .iter()
        .enumerate()
        .map(|(at, link)| format!("\"{}\" = \"{link}\"", at + 1))
        .collect();
    let members = members.join(", ");
    let mut gateways = Vec::new();
    let mut started_buses = Vec::new();
    for at in 0..3 {
        let name = format!("n{}", at + 1);
        let mut gateway = Gateway::new(&name, &record)?;
        let state = gateway.folder.join("state");
        gateway.operator_settings(&format!(
            "cluster {{\n  name = \"wards\"\n  id = {}\n  folder = \"{}\"\n  listen = \"{}\"\n  api = \"{}\"\n  \
             members = {{ {members} }}\n}}\n",
            at + 1, state.display(), links[at], apis[at]
        ))?;
        let bus = Bus::new(&name, buses[at], &list, &record);
        bus.go_up()?;
        gateway.configure(bus.addr(), &bus.known(), &settings::lahore(3))?;
        gateway.run_once("members init")?;
        gateway.start()?;
        started_buses.push(bus);
        gateways.push(gateway);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(READY_WITHIN) {
            return Err(std::io::Error::other(
                "a gateway was not ready at its first start",
            ));
        }
    }

    let (next, done) = (Arc::new(AtomicUsize::new(0)), Acknowledged::default());
    record.line(&format!(
        "{OPERATORS} operators make {CHANGES} changes of {VALUE_BYTES} bytes to {KEYS} keys"
    ));
    let operators: Vec<_> = (0..OPERATORS)
        .map(|operator| {
            let (next, done, api) = (Arc::clone(&next), Arc::clone(&done), apis[operator % 3]);
            let record = record.clone();
            std::thread::spawn(move || operate(operator, api, &next, &done, &record))
        })
        .collect();
    for operator in operators {
        let _ = operator.join();
    }
    let done = done.lock().unwrap().clone();
    record.say(&format!(
        "{} keys have acknowledged values, {} bytes together",
        done.len(),
        done.len() * VALUE_BYTES
    ));
    if next.load(Ordering::SeqCst) < CHANGES || done.len() < KEYS {
        return Err(std::io::Error::other("the changes could not be made"));
    }
    // Time for what the members do by themselves after so many changes, such as a snapshot.
    let deadline = Instant::now() + Duration::from_secs(15);
    let is_done = |gateway: &Gateway| !files(gateway).contains("snapshot-0000000000000000 ");
    while Instant::now() < deadline && !gateways.iter().all(is_done) {
        pause(200);
    }
    pause(2_000);
    for gateway in &gateways {
        record.line(&format!(
            "{}: its folder holds {}",
            gateway.name,
            files(gateway)
        ));
    }

    // One after another is killed and started again, each once the one before is back or has failed.
    let mut failed = 0;
    if trouble() {
        for (gateway, bus) in gateways.iter_mut().zip(&started_buses) {
            gateway.kill();
            gateway.configure(bus.addr(), &bus.known(), &settings::lahore(3))?;
            gateway.start()?;
            let deadline = Instant::now() + READY_WITHIN;
            let mut is_ready = false;
            while Instant::now() < deadline && gateway.is_running() && !is_ready {
                is_ready = gateway.wait_ready(Duration::from_millis(500));
            }
            if !gateway.is_running() {
                failed += 1;
                record.say(&format!(
                    "{} ended by itself after its restart",
                    gateway.name
                ));
                gateway.wait_exit(Duration::from_secs(1));
            } else if !is_ready {
                failed += 1;
                record.say(&format!(
                    "{} is not ready {} s after its restart",
                    gateway.name,
                    READY_WITHIN.as_secs()
                ));
            }
        }
    }
    // If a member has failed, three keys are enough to show whether the values are still there.
    let keys = if failed > 0 { 3 } else { KEYS };
    let lost = done
        .iter()
        .take(keys)
        .filter(|(key, value)| !is_readable(&apis, key, value, &record))
        .count();
    record.say(&format!(
        "members that did not come back: {failed} of 3; values that no member returns: {lost} of {keys} read"
    ));
    for gateway in &gateways {
        gateway.copy_log(&["violetgate:", "fence", "leader"]);
    }
    Ok(failed == 0 && lost == 0)
}

fn main() -> ExitCode {
    verdict(run)
}

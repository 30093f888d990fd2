//! Three gateways share state. Discovery fails, one of them is killed and comes back meanwhile. It
//! must not send to an engine that it was told is draining, nor miss a drain that is told later.

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use violetgate_review::bus::{Bus, Listed};
use violetgate_review::engine::{Engine, Plan, Shared};
use violetgate_review::pg::{Answer, Session};
use violetgate_review::process::{free_address, Gateway};
use violetgate_review::record::Record;
use violetgate_review::{pause, settings, trouble, verdict};

/// Nothing new may go to an engine later than this after the gateway was told that it drains.
const DRAIN_GRACE: Duration = Duration::from_millis(2_000);
/// Each time limit is 50 ms longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// What the event bus has to tell counts as told this long after, at the latest.
const TOLD_AT_LATEST: Duration = Duration::from_secs(7);

/// A gateway, the bus of its present start, and the list as that bus has it.
struct Instance {
    gateway: Gateway,
    bus: Bus,
}

fn listed(engine: &Engine) -> Listed {
    Listed {
        id: engine.id.clone(),
        addr: engine.addr,
        zone: "lahore-main".to_owned(),
        kind: "old-rack".to_owned(),
        state: "in_service",
        weight: 1,
    }
}

/// Writes the configuration of a start: its events are counted from 1 again.
fn configure(instance: &mut Instance, list: &[Listed], record: &Record) -> std::io::Result<()> {
    let name = instance.gateway.name.clone();
    instance.bus = Bus::new(&name, instance.bus.addr(), list, record);
    let (bus, known) = (instance.bus.addr(), instance.bus.known());
    instance
        .gateway
        .configure(bus, &known, &settings::lahore(3))
}

fn wait_ready(instance: &Instance) -> std::io::Result<()> {
    if instance.gateway.wait_ready(Duration::from_secs(15)) {
        return Ok(());
    }
    Err(std::io::Error::other(format!(
        "{} is not ready",
        instance.gateway.name
    )))
}

/// Sends lookups to a gateway until `stop` is set, and returns how many were served.
fn client(client: u64, addr: std::net::SocketAddr, stop: Arc<AtomicBool>, record: Record) -> u32 {
    let (mut served, mut number) = (0, client << 32);
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut session) = Session::open(addr, Duration::from_secs(9)) else {
            pause(50);
            continue;
        };
        while !stop.load(Ordering::SeqCst) {
            number += 1;
            let rid = format!("{:06x}{number:010x}", std::process::id() & 0xff_ffff);
            let sql = format!(
                "/* method=pickup-lookup,rid={rid},budget=7000,acct=ravi-metro,est=20.0,est_mb=16 */ \
                 SELECT day, route, note FROM sales_{}.plan", number % 5
            );
            match session.query(&sql) {
                Ok(Answer::Served(_)) => {
                    record.line(&format!("client: {rid} served"));
                    served += 1;
                }
                Ok(answer) => record.line(&format!("client: {rid} got {answer:?}")),
                Err(error) => {
                    record.line(&format!("client: {rid} lost: {error}"));
                    break;
                }
            }
            pause(20);
        }
    }
    served
}

fn run() -> std::io::Result<bool> {
    let record = Record::create()?;
    let trouble = trouble();
    let shared = Shared::new(&record, Duration::from_secs(12), |_| Plan::Run(20));
    let engines = ["e-1", "e-2", "e-3", "e-4"].map(|id| {
        let addr = free_address().expect("a free port");
        Engine::start(id, addr, &shared).expect("an engine")
    });
    let mut list: Vec<Listed> = engines.iter().map(listed).collect();

    let [links, apis, buses] = [0; 3].map(|_| [0; 3].map(|_| free_address().expect("a free port")));
    let members: Vec<String> = links
        .iter()
        .enumerate()
        .map(|(at, link)| format!("\"{}\" = \"{link}\"", at + 1))
        .collect();
    let members = members.join(", ");
    let mut instances = Vec::new();
    for at in 0..3 {
        let name = format!("n{}", at + 1);
        let gateway = Gateway::new(&name, &record)?;
        let state = gateway.folder.join("state");
        gateway.operator_settings(&format!(
            "cluster {{\n  name = \"wards\"\n  id = {}\n  folder = \"{}\"\n  listen = \"{}\"\n  api = \"{}\"\n  \
             members = {{ {members} }}\n}}\n",
            at + 1, state.display(), links[at], apis[at]
        ))?;
        let bus = Bus::new(&name, buses[at], &list, &record);
        let mut instance = Instance { gateway, bus };
        configure(&mut instance, &list, &record)?;
        instance.bus.go_up()?;
        instance.gateway.run_once("members init")?;
        instance.gateway.start()?;
        instances.push(instance);
    }
    for instance in &instances {
        wait_ready(instance)?;
    }

    // The list changes a few times: the weight of an engine.
    for weight in 2..6 {
        list[3].weight = weight;
        for instance in &instances {
            instance.bus.publish(false, &list[3..4]);
        }
        pause(300);
    }
    pause(1_000);

    // All front ends are restarted, one after another. At each start the events count from 1.
    for instance in &mut instances {
        instance.gateway.signal("TERM");
        if !instance.gateway.wait_exit(Duration::from_secs(8)) {
            return Err(std::io::Error::other("no end after SIGTERM"));
        }
        instance.bus.go_down();
        configure(instance, &list, &record)?;
        instance.bus.go_up()?;
        instance.gateway.start()?;
        wait_ready(instance)?;
    }
    pause(1_000);

    // e-1 begins to drain, and every gateway is told.
    list[0].state = "terminating";
    for instance in &instances {
        instance.bus.publish(false, &list[0..1]);
    }
    pause(2_500);

    // Discovery goes down; one gateway is killed, and comes back meanwhile. Its configuration holds
    // the list as it is now, with e-1 draining.
    if trouble {
        instances.iter().for_each(|instance| instance.bus.go_down());
        pause(500);
    } else {
        instances[2].bus.go_down();
    }
    instances[2].gateway.kill();
    configure(&mut instances[2], &list, &record)?;
    if !trouble {
        instances[2].bus.go_up()?;
    }
    let restarted = record.now();
    instances[2].gateway.start()?;
    wait_ready(&instances[2])?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (1..5)
        .map(|number| {
            let (addr, stop, record) = (
                instances[2].gateway.listen,
                Arc::clone(&stop),
                record.clone(),
            );
            std::thread::spawn(move || client(number, addr, stop, record))
        })
        .collect();
    pause(5_000);

    // Discovery is back, 8 s after it went down. Then e-2 begins to drain.
    if trouble {
        for instance in &instances {
            instance.bus.go_up()?;
        }
    }
    pause(3_000);
    let e2_drains = record.now();
    list[1].state = "terminating";
    for instance in &instances {
        instance.bus.publish(false, &list[1..2]);
    }
    pause(12_500);
    stop.store(true, Ordering::SeqCst);
    let served: u32 = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .sum();

    // The only clients are those of the restarted gateway.
    let arrivals = shared.arrivals.lock().unwrap().clone();
    let late = |engine: &str, limit: Duration| {
        let late: Vec<_> = arrivals
            .iter()
            .filter(|a| a.engine == engine && a.at > limit)
            .collect();
        let last = late.last().map_or(0.0, |a| (a.at - limit).as_secs_f64());
        (late.len(), last)
    };
    // e-1: told by the configuration of the start. e-2: told by the bus, at the latest 7 s later.
    let (e1, e1_last) = late("e-1", restarted + DRAIN_GRACE + SLACK);
    let (e2, e2_last) = late("e-2", e2_drains + TOLD_AT_LATEST + DRAIN_GRACE + SLACK);
    record.say(&format!(
        "served: {served}; attempts by engine: {:?}",
        by_engine(&arrivals)
    ));
    record.say(&format!("e-1, draining in the configuration of the start: {e1} attempts after the limit, the last {e1_last:.3} s after it"));
    record.say(&format!("e-2, draining by an event after the outage: {e2} attempts after the limit, the last {e2_last:.3} s after it"));
    instances[2].gateway.copy_log(&["bus", "cluster"]);
    if served == 0 {
        return Err(std::io::Error::other("nothing was served"));
    }
    Ok(e1 == 0 && e2 == 0)
}

fn by_engine(arrivals: &[violetgate_review::engine::Arrival]) -> Vec<(String, usize)> {
    let count = |id: &str| arrivals.iter().filter(|a| a.engine == id).count();
    ["e-1", "e-2", "e-3", "e-4"]
        .map(|id| (id.to_owned(), count(id)))
        .to_vec()
}

fn main() -> ExitCode {
    verdict(run)
}

//! Crowds of clients must not bring the process over `limits.memory_mb`, and a usual client is
//! served beside them.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

#[path = "../support/mod.rs"]
mod support;

mod engines;
mod event_bus;
mod floods;
mod postgres_clients;
mod rest_clients;

use std::sync::Mutex;
use std::time::{Duration, Instant};

use violetgate_test_harness::crowd::{Behaviour, Crowd};
use violetgate_test_harness::lock;

use support::GatewayProcess;

/// The least memory and the numbers of descriptors that a platform configures.
const MEMORY_MB: u64 = 32;
const FEW_DESCRIPTORS: usize = 256;
const MANY_DESCRIPTORS: usize = 1_024;
/// The number of clients in a crowd. More than may connect at once, so that some are always new.
const CROWD_SIZE: usize = 700;
/// How long a crowd stays.
const CROWD_TIME: Duration = Duration::from_secs(3);
/// How long a usual client waits for its answer.
const USUAL_BUDGET: Duration = Duration::from_secs(5);
/// The pause between the requests of a usual client.
const USUAL_INTERVAL: Duration = Duration::from_millis(20);

/// The requests of a usual client beside a crowd.
#[derive(Debug, Default)]
struct UsualClient {
    requests: u64,
    served: u64,
}

/// Lets a crowd act on a gateway with the least memory, and checks that the process stays within its
/// limit and that a usual client is served.
fn withstand(gateway: &mut GatewayProcess, addr: &str, behaviour: Behaviour) {
    let addr = addr.parse().unwrap();
    watch_usual_client(gateway, || Crowd::start(addr, CROWD_SIZE, behaviour));
}

/// Sends requests of a usual client while other clients act, which `start_others` starts and which
/// stop when its result is dropped. Checks that the process stays within its memory limit and that
/// the usual client is served.
fn watch_usual_client<T>(gateway: &mut GatewayProcess, start_others: impl FnOnce() -> T) {
    // One crowd at a time, as each needs most of the descriptors that a test may have.
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    let _only_crowd = lock(&ONE_AT_A_TIME);
    let others = start_others();
    let ends_at = Instant::now() + CROWD_TIME;
    let mut usual = UsualClient::default();
    while Instant::now() < ends_at {
        usual.requests += 1;
        usual.served += u64::from(is_usual_client_served(gateway, usual.requests));
        std::thread::sleep(USUAL_INTERVAL);
    }
    drop(others);
    let peak = gateway.peak_memory_bytes();
    assert!(
        peak <= MEMORY_MB * 1_000_000,
        "the process reached {peak} bytes, with a limit of {MEMORY_MB} MB"
    );
    assert_eq!(
        usual.served, usual.requests,
        "a usual client was not served"
    );
}

/// Whether a client that connects anew and sends one small request gets its rows in time. As every
/// client does, it tries again if its new connection is closed before it has sent a request.
fn is_usual_client_served(gateway: &GatewayProcess, number: u64) -> bool {
    let began = Instant::now();
    let sql = format!(
        "/* method=lookup,rid=00000001{number:08x},budget=5000 */ SELECT 1 FROM sales_3.plan"
    );
    while began.elapsed() < USUAL_BUDGET {
        if let Some(rows) = gateway.try_query(&sql, USUAL_BUDGET) {
            return rows.is_ok_and(|rows| rows.len() == 3);
        }
    }
    false
}

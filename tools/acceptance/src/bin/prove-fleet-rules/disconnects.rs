//! Clients that disconnect before their queries are read, or while their queries wait for a retry.

use std::io::Write;
use std::net::TcpStream;

use rustix::process::Signal;
use violetgate_acceptance::{AcceptanceError, Result};
use violetgate_fake_upstreams::client::PostgresClient;
use violetgate_fake_upstreams::Fault;
use violetgate_fleet_harness::{FleetHarness, GatewayProcess};

use crate::clients::{statement, CLIENT_TIMEOUT};

/// The first request id of the clients that disconnect before their queries are read.
const UNREAD_REQUEST_IDS: u64 = 0xdead_0000_0000;
/// The first request id of the clients that disconnect while their queries wait for a retry.
const WAITING_REQUEST_IDS: u64 = 0xbeef_0000_0000;
/// The ids of requests that show whether a process serves.
const READY_REQUEST_IDS: [u64; 2] = [0xfeed_0000_0001, 0xfeed_0000_0002];

/// Has clients send queries while a process is stopped, and disconnect before the process reads
/// them. Returns the ids of their requests.
pub fn disconnect_unread(process: &GatewayProcess, clients: u64) -> Result<Vec<String>> {
    let mut sessions = Vec::new();
    for _ in 0..clients {
        let stream = TcpStream::connect(process.listen)?;
        let session = PostgresClient::new(stream.try_clone()?, CLIENT_TIMEOUT)?;
        sessions.push((session, stream));
    }
    process.signal(Signal::STOP);
    let mut request_ids = Vec::new();
    for (id, (mut session, mut stream)) in (UNREAD_REQUEST_IDS..).zip(sessions) {
        session.send(&statement("lookup", "north", id))?;
        stream.flush()?;
        request_ids.push(format!("{id:016x}"));
    }
    process.signal(Signal::CONT);
    Ok(request_ids)
}

/// Has clients disconnect whose requests wait for a retry because all engines refuse. Returns how
/// many attempts the gateway made for them after it had abandoned all requests.
pub fn disconnect_waiting(fleet: &FleetHarness, clients: u64) -> Result<u64> {
    let engines = fleet.engines();
    set_fault_of_all(fleet, Fault::Refuse);
    let process = &fleet.processes[0];
    let (mut sessions, mut request_ids) = (Vec::new(), Vec::new());
    for id in WAITING_REQUEST_IDS..WAITING_REQUEST_IDS + clients {
        let stream = TcpStream::connect(process.listen)?;
        let mut session = PostgresClient::new(stream, CLIENT_TIMEOUT)?;
        session.send(&statement("lookup", "north", id))?;
        request_ids.push(format!("{id:016x}"));
        sessions.push(session);
    }
    let attempted = engines.wait_for(|counts| {
        let mut ids = request_ids.iter();
        ids.any(|id| counts.by_request.contains_key(id))
    });
    drop(sessions);
    let none_in_progress = |fleet: &FleetHarness| in_progress(&fleet.processes[0]) == 0.0;
    let abandoned = fleet.wait_until(CLIENT_TIMEOUT, none_in_progress).is_some();
    if !attempted || !abandoned {
        return Err(AcceptanceError::RequestsNotWaiting {
            attempted,
            abandoned,
        });
    }
    let before = attempts(fleet, &request_ids);
    set_fault_of_all(fleet, Fault::None);
    for id in READY_REQUEST_IDS {
        let serves = |fleet: &FleetHarness| fleet.processes[0].serves_request(id);
        let _ = fleet.wait_until(CLIENT_TIMEOUT, serves);
    }
    Ok(attempts(fleet, &request_ids) - before)
}

fn set_fault_of_all(fleet: &FleetHarness, fault: Fault) {
    let engines = fleet.engines();
    for id in engines.ids() {
        engines.fault(&id, fault);
    }
}

/// Returns the number of attempts that the engines have counted for these requests.
fn attempts(fleet: &FleetHarness, request_ids: &[String]) -> u64 {
    let counts = fleet.engines().counts();
    let attempts = request_ids
        .iter()
        .filter_map(|id| counts.by_request.get(id));
    attempts.copied().map(u64::from).sum()
}

/// Returns the number of requests in progress at a process, or NaN if it does not answer.
fn in_progress(process: &GatewayProcess) -> f64 {
    let metrics = process.metrics();
    metrics.get("svc_in_progress").copied().unwrap_or(f64::NAN)
}

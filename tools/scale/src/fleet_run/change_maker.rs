//! Makes numbered changes at a steady rate throughout a run, one after another. Each change is
//! repeated until it is answered as done.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use violetgate_replicated_state::{Micros, Revision};
use violetgate_test_harness::lock;

use super::api_client::call;
use super::lightweight_processes::CommandSenders;
use super::propagation::Change;
use crate::lightweight_gateway::change_sequence::change_transaction;
use crate::lightweight_gateway::protocol::{now, Command};

/// The pause before a call that was not answered as done is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How often a call is made before the change maker gives up.
const MAX_ATTEMPTS: usize = 500;
/// An engine is cordoned or uncordoned at every change whose number is a multiple of this.
const CORDON_INTERVAL: u64 = 10;
/// The engine that is cordoned and uncordoned.
const CORDONED_ENGINE: &str = "e-1";

/// Makes changes until it is stopped or dropped.
pub(super) struct ChangeMaker {
    changes: Arc<Mutex<Vec<Change>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for ChangeMaker {
    fn drop(&mut self) {
        self.stop();
    }
}

impl ChangeMaker {
    /// Starts to make changes at `apis`, tried in turn until one answers. The processes of
    /// lightweight gateways are told of each answered change through `senders`.
    pub(super) fn start(
        apis: Vec<SocketAddr>,
        per_second: f64,
        senders: Arc<CommandSenders>,
    ) -> Self {
        let changes = Arc::new(Mutex::default());
        let stop = Arc::new(AtomicBool::new(false));
        let worker = Worker {
            apis,
            senders,
            changes: Arc::clone(&changes),
            stop: Arc::clone(&stop),
        };
        let gap = (1e6 / per_second.max(1e-3)) as Micros;
        let thread = std::thread::spawn(move || worker.run(gap));
        ChangeMaker {
            changes,
            stop,
            thread: Some(thread),
        }
    }

    /// Stops making changes, after the current one is answered.
    pub(super) fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Returns the changes that were answered so far, in order.
    pub(super) fn changes(&self) -> Vec<Change> {
        lock(&self.changes).clone()
    }
}

struct Worker {
    apis: Vec<SocketAddr>,
    senders: Arc<CommandSenders>,
    changes: Arc<Mutex<Vec<Change>>>,
    stop: Arc<AtomicBool>,
}

impl Worker {
    fn run(&self, gap: Micros) {
        let start = now();
        for number in 1.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let due = start + number * gap;
            std::thread::sleep(Duration::from_micros(due.saturating_sub(now())));
            if number % CORDON_INTERVAL == 0 {
                self.change_cordon(number);
            }
            let Some(revision) = self.make_change(number) else {
                return;
            };
            let change = Change {
                number,
                due,
                answered: now(),
                revision,
            };
            lock(&self.changes).push(change);
        }
    }

    fn make_change(&self, number: u64) -> Option<Revision> {
        let id = format!("scale-change-{number}");
        let body = change_transaction(number).to_string();
        self.call_until_done("POST", "/v1/transactions", &id, body.as_bytes())
    }

    fn change_cordon(&self, number: u64) {
        let method = if (number / CORDON_INTERVAL) % 2 == 1 {
            "PUT"
        } else {
            "DELETE"
        };
        let path = format!("/v1/cordons?engine={CORDONED_ENGINE}");
        self.call_until_done(method, &path, &format!("scale-cordon-{number}"), b"");
    }

    /// Repeats a call with the same request id until it is answered as done, even if the change
    /// maker is being stopped, as every change that may have been made has to be known. Returns
    /// `None` if the call was never answered as done.
    fn call_until_done(
        &self,
        method: &str,
        path: &str,
        request_id: &str,
        body: &[u8],
    ) -> Option<Revision> {
        for api in self.apis.iter().cycle().take(MAX_ATTEMPTS) {
            let reply = call(*api, method, path, Some(request_id), body);
            let done = reply.ok().filter(|reply| reply.status == 200);
            let revision = done.and_then(|reply| reply.json().get("revision")?.as_u64());
            if let Some(revision) = revision {
                let at = now();
                self.senders.send(&Command::Answered { revision, at });
                return Some(revision);
            }
            std::thread::sleep(RETRY_PAUSE);
        }
        None
    }
}

//! Makes numbered changes at a steady rate throughout a run, one after another, each until it is answered as done.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;
use violetgate_fake_upstreams::client::{HttpClient, Reply};
use violetgate_replicated_state::{Micros, Revision};

use super::children::Inputs;
use super::in_force::Change;
use crate::hollow::changes::transaction;
use crate::hollow::report::{now, Command};

/// How long a connection to an API, and one call, may take.
const CONNECT: Duration = Duration::from_millis(300);
const CALL: Duration = Duration::from_millis(1_500);
/// The pause after a call that came to nothing.
const PAUSE: Duration = Duration::from_millis(20);
/// How often a call is made again.
const MOST_TRIES: usize = 500;
/// Every so many changes an engine is cordoned, or no longer.
const CORDON_EVERY: u64 = 10;
/// The engine.
const CORDONED: &str = "e-1";

/// One call to an API.
pub(super) fn call(
    at: SocketAddr,
    method: &str,
    path: &str,
    id: Option<&str>,
    body: &[u8],
) -> std::io::Result<Reply> {
    let mut http = HttpClient::new(TcpStream::connect_timeout(&at, CONNECT)?, CALL)?;
    let headers: Vec<_> = id.iter().map(|id| ("request-id", *id)).collect();
    http.send(method, path, &headers, body)?;
    http.read()
}

/// What goes on making changes until it is dropped.
pub(super) struct Changes {
    made: Arc<Mutex<Vec<Change>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Changes {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Changes {
    /// Begins to make changes at any of these APIs.
    pub(super) fn start(apis: Vec<SocketAddr>, per_second: f64, inputs: Arc<Inputs>) -> Self {
        let (made, stop) = (Arc::new(Mutex::default()), Arc::new(AtomicBool::new(false)));
        let maker = Maker {
            apis,
            inputs,
            made: Arc::clone(&made),
            stop: Arc::clone(&stop),
        };
        let gap = (1e6 / per_second.max(1e-3)) as Micros;
        let thread = std::thread::spawn(move || maker.run(gap));
        Changes {
            made,
            stop,
            thread: Some(thread),
        }
    }

    /// Makes no more.
    pub(super) fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// The changes that were answered so far, in order.
    pub(super) fn made(&self) -> Vec<Change> {
        self.made
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

struct Maker {
    apis: Vec<SocketAddr>,
    inputs: Arc<Inputs>,
    made: Arc<Mutex<Vec<Change>>>,
    stop: Arc<AtomicBool>,
}

impl Maker {
    fn run(&self, gap: Micros) {
        let start = now();
        for number in 1.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let due = start + number * gap;
            std::thread::sleep(Duration::from_micros(due.saturating_sub(now())));
            if number % CORDON_EVERY == 0 {
                self.cordon(number);
            }
            let id = format!("scale-change-{number}");
            let body = transaction(number).to_string();
            let Some(revision) = self.agree("POST", "/v1/transactions", &id, body.as_bytes())
            else {
                return;
            };
            let change = Change {
                number,
                due,
                answered: now(),
                revision,
            };
            self.made
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(change);
        }
    }

    fn cordon(&self, number: u64) {
        let method = if (number / CORDON_EVERY) % 2 == 1 {
            "PUT"
        } else {
            "DELETE"
        };
        let path = format!("/v1/cordons?engine={CORDONED}");
        self.agree(method, &path, &format!("scale-cordon-{number}"), b"");
    }

    /// Asks until the call is answered as done, under one request id: also while the run ends, as a change that may have
    /// been made has to be known. `None`: it was never answered.
    fn agree(&self, method: &str, path: &str, id: &str, body: &[u8]) -> Option<Revision> {
        for api in self.apis.iter().cycle().take(MOST_TRIES) {
            let reply = call(*api, method, path, Some(id), body);
            let revision = reply
                .ok()
                .filter(|r| r.status == 200)
                .and_then(|r| revision(&r.json()));
            if let Some(revision) = revision {
                self.inputs.send(&Command::Answered {
                    revision,
                    at: now(),
                });
                return Some(revision);
            }
            std::thread::sleep(PAUSE);
        }
        None
    }
}

fn revision(answer: &Value) -> Option<Revision> {
    answer.get("revision")?.as_u64()
}

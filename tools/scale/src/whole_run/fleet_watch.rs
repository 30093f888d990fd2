//! The revision in force at all front ends that serve, as the control processes themselves report it from what their
//! observers sum up. It covers real front ends and hollow ones alike.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use violetgate_replicated_state::{Micros, Revision};

use super::changes::call;
use crate::hollow::report::now;

/// How often the figure is read.
const LOOK: Duration = Duration::from_millis(100);
/// The figure.
const IN_FORCE: &str = "svc_cluster_in_force ";

type Revisions = Arc<Mutex<Vec<(Revision, Micros)>>>;

/// What goes on reading the figure until it is dropped.
pub(super) struct FleetWatch {
    revisions: Revisions,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for FleetWatch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl FleetWatch {
    /// Begins to read the figure at the first of these management addresses that answers.
    pub(super) fn start(managements: Vec<SocketAddr>) -> Self {
        let (revisions, stop) = (Revisions::default(), Arc::new(AtomicBool::new(false)));
        let (found, ends) = (Arc::clone(&revisions), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                note(managements.iter().find_map(|at| in_force(*at)), &found);
                std::thread::sleep(LOOK);
            }
        });
        FleetWatch {
            revisions,
            stop,
            thread: Some(thread),
        }
    }

    /// Revisions in force, each with when that was first read.
    pub(super) fn revisions(&self) -> Vec<(Revision, Micros)> {
        self.revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

fn note(revision: Option<Revision>, found: &Mutex<Vec<(Revision, Micros)>>) {
    let Some(revision) = revision else { return };
    let mut found = found.lock().unwrap_or_else(PoisonError::into_inner);
    if found.last().is_none_or(|(before, _)| revision > *before) {
        found.push((revision, now()));
    }
}

fn in_force(at: SocketAddr) -> Option<Revision> {
    let reply = call(at, "GET", "/admin/stats", None, b"").ok()?;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    text.lines()
        .find_map(|line| line.strip_prefix(IN_FORCE)?.parse().ok())
}

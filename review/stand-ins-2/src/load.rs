//! Clients that send lookups all the time, each one at a time on a session.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client::{Answer, Session};
use crate::support::{note, unix_ms};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new request id: 16 hex digits.
pub fn new_id() -> String {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!(
        "{:016x}",
        (u128::from(number) << 44 | (unix_ms() & 0xfff_ffff_ffff)) as u64
    )
}

pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `clients` clients that wait for `pause` after each answer.
    pub fn start(addr: SocketAddr, clients: usize, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..clients)
            .map(|_| {
                let stop = Arc::clone(&stop);
                std::thread::spawn(move || client(addr, pause, &stop))
            })
            .collect();
        Load { stop, threads }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn client(addr: SocketAddr, pause: Duration, stop: &AtomicBool) {
    let mut session = None;
    while !stop.load(Ordering::Relaxed) {
        let id = new_id();
        let sql = format!(
            "/* method=lookup,rid={id},budget=7500,acct=acme,est=60.0,est_mb=8 */ SELECT day FROM sales_17.plan"
        );
        let open = match session.take() {
            Some(open) => Ok(open),
            None => Session::open(addr),
        };
        let answer = open.and_then(|mut open: Session| {
            let answer = open.query(&sql)?;
            session = Some(open);
            Ok(answer)
        });
        match answer {
            Ok(Answer::Served(_)) => note(&format!("client got {id} served")),
            other => note(&format!("client got {id} {other:?}")),
        }
        std::thread::sleep(pause);
    }
}

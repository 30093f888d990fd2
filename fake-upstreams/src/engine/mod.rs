//! A fake engine that implements the whole line protocol and simulates the faults of real engines.

mod command;
mod connection;

use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::{Executor, Task};
use async_io::{Async, Timer};

use crate::counts::Counts;
use crate::engine::connection::Connection;
use crate::lock;

/// How long to retry binding an address that a recently killed process may still hold.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// How often tasks that wait for the end of a fault check it.
const FAULT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Capacity and warm-up behaviour that all engines share.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Maximum number of concurrent requests of one engine. It refuses further ones.
    pub max_requests: u32,
    /// Factor by which requests take longer just after a start. It falls linearly to 1 over
    /// `warm_up`.
    pub start_slowdown: f64,
    /// Time after a start at which an engine reaches full speed.
    pub warm_up: Duration,
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            max_requests: 64,
            start_slowdown: 3.0,
            warm_up: Duration::from_secs(5),
        }
    }
}

/// A simulated fault of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// The engine works normally.
    #[default]
    None,
    /// The engine reads, but executes no command and answers no request until the fault is
    /// removed, like a process that hangs.
    Stall,
    /// The engine neither reads nor answers, like a machine that is unreachable.
    Unreachable,
    /// The engine resets the connection when it has received a request in full, without executing
    /// it.
    ResetOnServe,
    /// The engine executes a request and resets the connection instead of answering.
    ResetOnAnswer,
    /// The engine sends invalid bytes for every page after the first.
    CorruptPages,
    /// The engine answers requests and resets the connection when a further page is requested.
    ResetOnPage,
    /// The engine sends all pages of an answer but the last one.
    WithholdLastPage,
    /// The engine refuses every request, as if it were full.
    Refuse,
    /// The engine answers every request with an error and executes nothing.
    Error,
}

pub(crate) struct Engine {
    pub addr: SocketAddr,
    /// When the engine started; `None` if it runs at full speed from the beginning.
    pub started_at: Option<Instant>,
    id: String,
    profile: Profile,
    fault: Mutex<Fault>,
    counts: Arc<Mutex<Counts>>,
    /// Number of requests that are running.
    request_count: AtomicU32,
    /// Number of answers built so far, which numbers the executions.
    executed: AtomicU32,
    streams: Mutex<Vec<Arc<Async<TcpStream>>>>,
    accepting: Mutex<Option<Task<()>>>,
}

impl Engine {
    pub fn start(
        executor: &Arc<Executor<'static>>,
        id: &str,
        addr: Option<SocketAddr>,
        profile: Profile,
        started_at: Option<Instant>,
        counts: Arc<Mutex<Counts>>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = bind(addr.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))))?;
        let engine = Arc::new(Engine {
            addr: listener.get_ref().local_addr()?,
            started_at,
            id: id.to_owned(),
            profile,
            fault: Mutex::default(),
            counts,
            request_count: AtomicU32::new(0),
            executed: AtomicU32::new(0),
            streams: Mutex::default(),
            accepting: Mutex::default(),
        });
        let accepting = Arc::clone(&engine).accept(Arc::clone(executor), listener);
        *lock(&engine.accepting) = Some(executor.spawn(accepting));
        Ok(engine)
    }

    async fn accept(
        self: Arc<Self>,
        executor: Arc<Executor<'static>>,
        listener: Async<TcpListener>,
    ) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.get_ref().set_nodelay(true);
            let stream = Arc::new(stream);
            lock(&self.streams).push(Arc::clone(&stream));
            let engine = Arc::clone(&self);
            let connection = Connection::new(engine, Arc::clone(&executor), stream);
            executor.spawn(connection.serve()).detach();
        }
    }

    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    pub fn kill(&self) {
        lock(&self.accepting).take();
        for stream in lock(&self.streams).drain(..) {
            reset(&stream);
        }
    }

    fn has_fault(&self, fault: Fault) -> bool {
        *lock(&self.fault) == fault
    }

    async fn wait_while_faulty(&self, faults: &[Fault]) {
        while faults.contains(&*lock(&self.fault)) {
            Timer::after(FAULT_CHECK_INTERVAL).await;
        }
    }

    fn is_full(&self) -> bool {
        self.request_count.load(Ordering::Relaxed) >= self.profile.max_requests
    }

    fn record_attempt(&self, request_id: &str, key: Option<&str>, reserved_mb: u64) {
        let mut counts = lock(&self.counts);
        counts.record_attempt(&self.id, request_id, key);
        counts.reserved.insert(request_id.to_owned(), reserved_mb);
    }

    fn begin_request(&self) {
        self.request_count.fetch_add(1, Ordering::Relaxed);
        lock(&self.counts).record_start();
    }

    fn end_request(&self) {
        self.request_count.fetch_sub(1, Ordering::Relaxed);
        lock(&self.counts).running -= 1;
    }

    /// Returns a new identifier of an execution: the engine's id and a running number.
    fn next_execution_id(&self) -> String {
        let executed = self.executed.fetch_add(1, Ordering::Relaxed);
        format!("{}/{executed}", self.id)
    }

    /// Returns the factor by which requests take longer at this time because the engine is cold.
    fn slowdown(&self) -> f64 {
        let warm_up = self.profile.warm_up;
        let age = self.started_at.map_or(warm_up, |at| at.elapsed());
        let warm_fraction = (age.as_secs_f64() / warm_up.as_secs_f64().max(1e-3)).min(1.0);
        self.profile.start_slowdown + (1.0 - self.profile.start_slowdown) * warm_fraction
    }
}

fn bind(addr: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match Async::<TcpListener>::bind(addr) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                std::thread::sleep(BIND_RETRY_INTERVAL);
            }
            bound => return bound,
        }
    }
}

/// Writes an answer. Answers of several tasks don't interleave: loopback takes a small answer in
/// one write. All tasks run on one thread, so the rest of a partially written answer is tried
/// before another task writes.
async fn write_all(stream: &Async<TcpStream>, text: &str) -> std::io::Result<()> {
    let mut bytes = text.as_bytes();
    while !bytes.is_empty() {
        let written = match stream.get_ref().write(bytes) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                stream.write_with(|mut s| s.write(bytes)).await?
            }
            done => done?,
        };
        bytes = bytes.get(written..).unwrap_or_default();
    }
    Ok(())
}

fn reset(stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(Shutdown::Both);
}

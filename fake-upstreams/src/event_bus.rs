//! The fake event bus. It sends the events of the engine list with their offsets, and the last
//! offset once a second.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::Executor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::FutureExt;
use serde_json::{json, Value};

use crate::lock;

/// How often the last offset is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Length of the kernel's accept queue. A large fleet may connect at once.
const BACKLOG: i32 = 4_096;
/// Maximum length of a client's first line.
const MAX_FIRST_LINE_BYTES: usize = 64;

/// Whether an event contains the whole engine list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListUpdate {
    /// The event lists all engines.
    Snapshot,
    /// The event lists only the engines that have changed.
    Patch,
}

pub(crate) struct EventBus {
    pub addr: SocketAddr,
    state: Mutex<State>,
    /// Notifies all connections of a change. Connections don't poll, so that thousands of them cost
    /// nothing between events.
    changed: Event,
}

#[derive(Default)]
struct State {
    events: Vec<Value>,
    /// Whether new connections are closed at once.
    is_down: bool,
    /// Number of calls to `silence_connections`. A connection is silenced if the number has grown
    /// since it was accepted.
    silence_count: u64,
    connections: Vec<Arc<Async<TcpStream>>>,
}

impl EventBus {
    pub fn start(executor: &Arc<Executor<'static>>) -> std::io::Result<Arc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        // `bind` has already called `listen`. The second call only extends the accept queue.
        rustix::net::listen(listener.get_ref(), BACKLOG)?;
        let bus = Arc::new(EventBus {
            addr: listener.get_ref().local_addr()?,
            state: Mutex::default(),
            changed: Event::new(),
        });
        let accepting = Arc::clone(&bus).accept(Arc::clone(executor), listener);
        executor.spawn(accepting).detach();
        Ok(bus)
    }

    async fn accept(
        self: Arc<Self>,
        executor: Arc<Executor<'static>>,
        listener: Async<TcpListener>,
    ) {
        while let Ok((stream, _)) = listener.accept().await {
            if lock(&self.state).is_down {
                continue;
            }
            let stream = Arc::new(stream);
            lock(&self.state).connections.push(Arc::clone(&stream));
            let bus = Arc::clone(&self);
            let serving = async move {
                let _ = bus.serve(&stream).await;
                let _ = stream.get_ref().shutdown(Shutdown::Both);
                let connections = &mut lock(&bus.state).connections;
                connections.retain(|other| !Arc::ptr_eq(other, &stream));
            };
            executor.spawn(serving).detach();
        }
    }

    /// Returns all events published so far.
    pub fn events(&self) -> Vec<Value> {
        lock(&self.state).events.clone()
    }

    pub fn publish(&self, update: ListUpdate, servers: &[Value]) {
        lock(&self.state).publish(update, servers);
        self.changed.notify(usize::MAX);
    }

    /// Replaces all events by a single one, which holds the list as it is, as at a start of a
    /// gateway: events are counted from 1 at each start.
    pub fn restart_numbering(&self) {
        let mut state = lock(&self.state);
        let servers = state.current_servers();
        state.events.clear();
        state.publish(ListUpdate::Snapshot, &servers);
        drop(state);
        self.close_connections();
    }

    /// Closes all connections, and new ones as soon as they are made, or ends that.
    pub fn set_down(&self, is_down: bool) {
        lock(&self.state).is_down = is_down;
        if is_down {
            self.close_connections();
        }
    }

    pub fn close_connections(&self) {
        for stream in lock(&self.state).connections.drain(..) {
            let _ = stream.get_ref().shutdown(Shutdown::Both);
        }
    }

    /// Stops sending on the connections that are open now, and leaves them open.
    pub fn silence_connections(&self) {
        lock(&self.state).silence_count += 1;
        self.changed.notify(usize::MAX);
    }

    async fn serve(&self, stream: &Async<TcpStream>) -> std::io::Result<()> {
        let silence_count = lock(&self.state).silence_count;
        let Some(mut next) = read_first_line(stream).await? else {
            return Ok(());
        };
        let mut heartbeat = Timer::after(HEARTBEAT_INTERVAL);
        loop {
            let changed = self.changed.listen();
            if lock(&self.state).silence_count > silence_count {
                return read_to_end(stream).await;
            }
            for line in self.lines_from(next) {
                write_all(stream, line.as_bytes()).await?;
                next += 1;
            }
            let event = async {
                changed.await;
                false
            };
            let heartbeat_due = async {
                (&mut heartbeat).await;
                true
            };
            if event.or(heartbeat_due).await {
                write_all(stream, format!("{next}\n").as_bytes()).await?;
                heartbeat = Timer::after(HEARTBEAT_INTERVAL);
            }
        }
    }

    fn lines_from(&self, offset: usize) -> Vec<String> {
        let state = lock(&self.state);
        let events = state.events.iter().skip(offset);
        events.map(|event| format!("{event}\n")).collect()
    }
}

impl State {
    fn publish(&mut self, update: ListUpdate, servers: &[Value]) {
        let is_full = update == ListUpdate::Snapshot;
        let offset = self.events.len() + 1;
        let topology = json!({"version": offset, "full": is_full, "servers": servers});
        self.events
            .push(json!({"offset": offset, "topology": topology}));
    }

    /// Returns the latest entry of each engine that has not been removed.
    fn current_servers(&self) -> Vec<Value> {
        let entries = self
            .events
            .iter()
            .filter_map(|event| event["topology"]["servers"].as_array())
            .flatten();
        let by_id: BTreeMap<String, Value> = entries
            .map(|entry| (entry["id"].to_string(), entry.clone()))
            .collect();
        let listed = by_id.into_values();
        listed
            .filter(|entry| entry["state"] != "terminated")
            .collect()
    }
}

/// Reads a client's first line, `from OFFSET`, and returns the offset. Returns `None` if the
/// connection ends or the line is malformed.
async fn read_first_line(stream: &Async<TcpStream>) -> std::io::Result<Option<usize>> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\n") && line.len() < MAX_FIRST_LINE_BYTES {
        if stream.read_with(|mut s| s.read(&mut byte)).await? == 0 {
            return Ok(None);
        }
        line.extend_from_slice(&byte);
    }
    let line = String::from_utf8_lossy(&line);
    let offset = line.trim().strip_prefix("from ");
    Ok(offset.and_then(|offset| offset.parse().ok()))
}

async fn read_to_end(stream: &Async<TcpStream>) -> std::io::Result<()> {
    let mut byte = [0];
    while stream.read_with(|mut s| s.read(&mut byte)).await? > 0 {}
    Ok(())
}

async fn write_all(stream: &Async<TcpStream>, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let written = stream.write_with(|mut s| s.write(bytes)).await?;
        bytes = bytes.get(written..).unwrap_or_default();
    }
    Ok(())
}

//! An event bus with one follower, which sends the events that the test gives it.
//!
//! After each event the bus sends a bare offset beyond that event. The gateway concludes that it
//! missed events and opens a new connection, whose greeting names the last event that the gateway
//! has applied. So the bus learns from the gateway itself when an event is applied.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::error::ScaleError;

/// How long the gateway may take to apply an event.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// How often an event is sent before it counts as refused. One failure proves nothing, as the
/// gateway may have closed the connection for another reason at that moment.
const MAX_ATTEMPTS: usize = 2;

/// Returns one engine in the JSON form of the bus. Its address is on loopback, and the tests never
/// send anything to it.
pub(super) fn engine(number: u32, state: &str) -> Value {
    let [_, high, middle, low] = number.to_be_bytes();
    json!({
        "id": format!("engine-{number:05}"), "addr": format!("127.{high}.{middle}.{low}:5432"), "zone": "z",
        "kind": "k", "cell": 0, "state": state, "weight": 1, "started_ms": 0,
    })
}

/// Returns the line of one event. `full` means that the event lists all engines.
pub(super) fn event(offset: u64, full: bool, servers: &[Value]) -> String {
    let topology = json!({"version": offset, "full": full, "servers": servers});
    format!("{}\n", json!({"offset": offset, "topology": topology}))
}

/// Returns the line of an event that lists all engines, numbered from 1 to `engines`.
pub(super) fn full_list(offset: u64, engines: u32) -> String {
    let servers: Vec<_> = (1..=engines)
        .map(|number| engine(number, "in_service"))
        .collect();
    event(offset, true, &servers)
}

/// An event bus with one follower, which announces the events that the test gives it.
pub(super) struct ScriptedBus {
    listener: TcpListener,
    /// The follower's current connection, whose greeting was read.
    follower: Option<TcpStream>,
    /// The offset of the last event that the follower has applied.
    last_offset: u64,
}

impl ScriptedBus {
    /// Starts a bus on a free port, without a follower.
    pub(super) fn start() -> Result<Self, ScaleError> {
        let listener =
            TcpListener::bind("127.0.0.1:0").map_err(ScaleError::io("listen for a bus"))?;
        Ok(ScriptedBus {
            listener,
            follower: None,
            last_offset: 0,
        })
    }

    /// Sends an event until it is applied, and returns how long that took. Returns `None` if the
    /// follower refuses the event.
    pub(super) fn apply(&mut self, line: &str) -> Result<Option<Duration>, ScaleError> {
        for _ in 0..MAX_ATTEMPTS {
            let mut follower = match self.follower.take() {
                Some(follower) => follower,
                None => self.accept_follower()?.stream,
            };
            let began = Instant::now();
            send_and_wait(&mut follower, line, self.last_offset + 2);
            let took = began.elapsed();
            let greeting = self.accept_follower()?;
            self.follower = Some(greeting.stream);
            if greeting.last_offset == self.last_offset + 1 {
                self.last_offset = greeting.last_offset;
                return Ok(Some(took));
            }
        }
        Ok(None)
    }

    /// Accepts the next connection of the follower and reads its greeting.
    fn accept_follower(&self) -> Result<Greeting, ScaleError> {
        let failed = || ScaleError::io("accept the follower of a bus");
        let (stream, _) = self.listener.accept().map_err(failed())?;
        stream
            .set_read_timeout(Some(APPLY_TIMEOUT))
            .map_err(failed())?;
        let mut line = String::new();
        BufReader::new(&stream)
            .read_line(&mut line)
            .map_err(failed())?;
        let offset = line.trim().strip_prefix("from ");
        let last_offset = offset
            .and_then(|offset| offset.parse().ok())
            .ok_or(ScaleError::Bus("greeted the bus in an unknown form"))?;
        Ok(Greeting {
            stream,
            last_offset,
        })
    }

    /// Returns the address that the follower connects to.
    pub(super) fn address(&self) -> Result<SocketAddr, ScaleError> {
        let address = self.listener.local_addr();
        address.map_err(ScaleError::io("read the address of a bus"))
    }

    /// Returns the offset of the next event.
    pub(super) fn next_offset(&self) -> u64 {
        self.last_offset + 1
    }
}

/// A new connection of the follower, and the offset of the last event that its greeting names.
struct Greeting {
    stream: TcpStream,
    last_offset: u64,
}

/// Sends an event and the offset `past` beyond it, and waits until the follower closes the
/// connection. The follower may close it while the lines are still being written.
fn send_and_wait(follower: &mut TcpStream, line: &str, past: u64) {
    let lines = format!("{line}{past}\n");
    if follower.write_all(lines.as_bytes()).is_ok() {
        let _ = follower.read(&mut [0; 1]);
    }
}

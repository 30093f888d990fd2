//! A bus with one follower, which sends what the test says.
//!
//! It sends one event and then a number that is larger than it. The program answers that by a new
//! connection, in whose greeting stands the last event that it has applied: so nothing has to be
//! guessed from outside.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::error::ScaleError;

/// How long the program may take to apply an event.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// How often an event that was not applied is sent again before it counts as refused: the program
/// may have ended the connection by itself just then.
const MAX_ATTEMPTS: usize = 2;

/// One engine in the bus's form; the address is on loopback, and nothing is ever sent to it here.
pub(super) fn server(number: u32, state: &str) -> Value {
    let [_, high, middle, low] = number.to_be_bytes();
    json!({
        "id": format!("engine-{number:05}"), "addr": format!("127.{high}.{middle}.{low}:5432"), "zone": "z",
        "kind": "k", "cell": 0, "state": state, "weight": 1, "started_ms": 0,
    })
}

/// The line of one event; `full`: its engines are all there are.
pub(super) fn event(offset: u64, full: bool, servers: &[Value]) -> String {
    let topology = json!({"version": offset, "full": full, "servers": servers});
    format!("{}\n", json!({"offset": offset, "topology": topology}))
}

/// The line of an event with all engines, numbered from 1.
pub(super) fn full_list(offset: u64, engines: u32) -> String {
    let servers: Vec<_> = (1..=engines)
        .map(|number| server(number, "in_service"))
        .collect();
    event(offset, true, &servers)
}

/// A bus with one follower; the test says what it announces.
pub(super) struct ScriptedBus {
    listener: TcpListener,
    /// The connection that the follower has greeted on.
    follower: Option<TcpStream>,
    /// The last event that the follower has applied.
    last_offset: u64,
}

impl ScriptedBus {
    /// Starts a bus on a free port; nothing follows it yet.
    pub(super) fn start() -> Result<Self, ScaleError> {
        let listener =
            TcpListener::bind("127.0.0.1:0").map_err(ScaleError::io("listen for a bus"))?;
        Ok(ScriptedBus {
            listener,
            follower: None,
            last_offset: 0,
        })
    }

    /// Sends an event until it is applied; how long that took, or `None` where the follower refuses
    /// it.
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

    /// The address that the follower connects to.
    pub(super) fn address(&self) -> Result<SocketAddr, ScaleError> {
        let address = self.listener.local_addr();
        address.map_err(ScaleError::io("address of a bus"))
    }

    /// The offset of the next event.
    pub(super) fn next_offset(&self) -> u64 {
        self.last_offset + 1
    }
}

/// A connection of the follower, and the last event that it has applied.
struct Greeting {
    stream: TcpStream,
    last_offset: u64,
}

/// Sends an event and a number past it, and waits until the follower ends the connection. It may do
/// so while it is still being written to.
fn send_and_wait(follower: &mut TcpStream, line: &str, past: u64) {
    let lines = format!("{line}{past}\n");
    if follower.write_all(lines.as_bytes()).is_ok() {
        let _ = follower.read(&mut [0; 1]);
    }
}

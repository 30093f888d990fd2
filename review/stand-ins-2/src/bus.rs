//! An event bus as the protocol page describes it: numbered events, and each second a line with the
//! last number. Each connection may begin late or fall silent.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::support::note;

/// An engine in an event.
#[derive(Clone)]
pub struct Listed {
    pub id: &'static str,
    pub addr: SocketAddr,
    pub state: &'static str,
}

fn event(offset: u64, full: bool, servers: &[Listed]) -> String {
    let servers: Vec<String> = servers
        .iter()
        .map(|server| {
            format!(
                r#"{{"id":"{}","addr":"{}","zone":"z","kind":"k","cell":0,"state":"{}","weight":8,"started_ms":0}}"#,
                server.id, server.addr, server.state
            )
        })
        .collect();
    format!(
        r#"{{"offset":{offset},"topology":{{"version":{offset},"full":{full},"servers":[{}]}}}}"#,
        servers.join(",")
    )
}

/// The `known` of a configuration: the event that holds the whole list.
pub fn known(servers: &[Listed]) -> String {
    format!(r#"{{"offset":1,"batch":[{}]}}"#, event(1, true, servers))
}

#[derive(Default)]
struct State {
    events: Vec<(u64, String)>,
    /// How long a new connection waits for its first line.
    first_line_after: Duration,
    /// Connections up to this number get nothing more.
    silent_up_to: u64,
    connections: u64,
    /// When the newest connection got its latest line.
    last_line_at: Option<Instant>,
}

/// The bus. Its threads end with the process.
#[derive(Clone)]
pub struct Bus {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Bus {
    /// Starts a bus whose last event is the first one, which `known` holds. A new connection gets
    /// its first line after `first_line_after` at the earliest.
    pub fn start(first_line_after: Duration) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let addr = listener.local_addr().map_err(|error| error.to_string())?;
        let state = Arc::new(Mutex::new(State {
            first_line_after,
            ..State::default()
        }));
        let bus = Bus { addr, state };
        let accepting = bus.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let bus = accepting.clone();
                std::thread::spawn(move || bus.serve(stream));
            }
        });
        Ok(bus)
    }

    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = match self.state.lock() {
            Ok(state) => state,
            Err(poisoned) => poisoned.into_inner(),
        };
        change(&mut state)
    }

    /// Adds an event.
    pub fn add(&self, servers: &[Listed]) {
        let offset = self.with(|state| {
            let offset = state.events.len() as u64 + 2;
            let text = event(offset, false, servers);
            state.events.push((offset, text));
            offset
        });
        let names: Vec<String> = servers
            .iter()
            .map(|server| format!("{} {}", server.id, server.state))
            .collect();
        note(&format!("bus event {offset}: {}", names.join(", ")));
    }

    /// Lets all connections that are open fall silent. They stay open.
    pub fn fall_silent(&self) {
        let count = self.with(|state| {
            state.silent_up_to = state.connections;
            state.connections
        });
        note(&format!("bus connections up to {count} fall silent"));
    }

    /// Returns the time since the newest line was written.
    pub fn since_last_line(&self) -> Option<Duration> {
        self.with(|state| state.last_line_at.map(|at| at.elapsed()))
    }

    /// Returns how many connections were made.
    pub fn connections(&self) -> u64 {
        self.with(|state| state.connections)
    }

    fn serve(&self, mut stream: TcpStream) {
        let accepted = Instant::now();
        let number = self.with(|state| {
            state.connections += 1;
            state.connections
        });
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut line = String::new();
        let mut reader = BufReader::new(reader);
        if reader.read_line(&mut line).is_err() {
            return;
        }
        let Some(mut last) = line
            .trim()
            .strip_prefix("from ")
            .and_then(|text| text.parse::<u64>().ok())
        else {
            return note(&format!("bus connection {number}: bad request {line:?}"));
        };
        note(&format!("bus connection {number}: from {last}"));
        let wait = self.with(|state| state.first_line_after);
        let mut next_heartbeat = accepted + wait.max(Duration::from_millis(20));
        loop {
            let is_silent = self.with(|state| number <= state.silent_up_to);
            let mut out = String::new();
            if !is_silent && accepted.elapsed() >= wait {
                let events = self.with(|state| state.events.clone());
                for (offset, text) in &events {
                    if *offset <= last {
                        continue;
                    }
                    last = *offset;
                    out += &format!("{text}\n");
                }
                if Instant::now() >= next_heartbeat {
                    next_heartbeat = Instant::now() + Duration::from_secs(1);
                    let end = events.last().map_or(1, |(offset, _)| *offset);
                    out += &format!("{end}\n");
                }
            }
            if !out.is_empty() {
                if stream.write_all(out.as_bytes()).is_err() {
                    return note(&format!("bus connection {number}: ended"));
                }
                self.with(|state| state.last_line_at = Some(Instant::now()));
                note(&format!("bus connection {number}: wrote {}", out.trim()));
            }
            if has_ended(&stream) {
                return note(&format!("bus connection {number}: ended by the gateway"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn has_ended(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let ended = matches!(stream.peek(&mut [0]), Ok(0));
    let failed = match stream.peek(&mut [0]) {
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        Ok(_) => false,
    };
    let _ = stream.set_nonblocking(false);
    ended || failed
}

//! Runs a script against the program. The player starts the program's processes, acts as its
//! clients, engines and event bus, and records all that the program sends.
//! `exchanges/README.md` explains the scripts.

mod bytes;
mod fake_bus;
mod steps;

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::support::{connect, reserve_address, WAIT};
use bytes::mask;
use fake_bus::FakeBus;

const SETTINGS: &str = include_str!("../exchanges/settings.json");

/// The state of a running script.
pub struct Player {
    child: Child,
    /// The predecessor of `child` after an upgrade.
    old: Option<Child>,
    /// Management address of the latest process.
    management: String,
    folder: PathBuf,
    config: String,
    listen: String,
    bus: FakeBus,
    listeners: Vec<TcpListener>,
    /// Connections by their names in the script; those of engines with the engine's index.
    peers: HashMap<String, (BufReader<TcpStream>, Option<usize>)>,
    pub transcript: String,
    /// The escaped cancel key of the first session.
    key: String,
}

impl Drop for Player {
    fn drop(&mut self) {
        for child in [&mut self.child].into_iter().chain(&mut self.old) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the command that starts the program as the platform does.
pub fn program_command(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_violetgate"));
    command
        .env("PROXY_CONFIG", config)
        .env("PROXY_NAME", "n0")
        .stdin(Stdio::null());
    command
}

/// Starts a process with the configuration in a folder. Returns it and its management address,
/// which is a new one.
fn spawn(folder: &Path, listen: &str) -> (Child, String) {
    let management = reserve_address();
    let child = program_command(&folder.join("config.json"))
        .env("PROXY_LISTEN", listen)
        .env("PROXY_MANAGEMENT", &management)
        .env("TMPDIR", folder)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    (child, management)
}

fn bind_loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

fn server(id: usize, addr: &str, state: &str) -> String {
    format!(
        r#"{{"id":"s-{id}","addr":"{addr}","zone":"z","kind":"k","cell":0,"state":"{state}","weight":1,"started_ms":0}}"#
    )
}

impl Player {
    /// Starts the program in front of engines that the script controls.
    pub fn start(name: &str, engines: usize) -> Self {
        let listeners: Vec<_> = (0..engines).map(|_| bind_loopback()).collect();
        let servers: Vec<_> = listeners
            .iter()
            .enumerate()
            .map(|(i, l)| server(i, &l.local_addr().unwrap().to_string(), "in_service"))
            .collect();
        let bus = bind_loopback();
        let listen = reserve_address();
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964","bus":"{}","unknown":[1],
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{SETTINGS},
            "known":{{"offset":1,"batch":[{{"offset":1,"topology":{{"version":1,"full":true,"servers":[{}]}}}}]}}}}"#,
            bus.local_addr().unwrap(),
            servers.join(",")
        );
        let folder = std::env::temp_dir().join(format!("violetgate-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("config.json");
        std::fs::write(&path, &config).unwrap();
        let bus = FakeBus::start(bus, 1);
        let (child, management) = spawn(&folder, &listen);
        let (peers, transcript, key) = (HashMap::new(), String::new(), String::new());
        Player {
            child,
            old: None,
            management,
            folder,
            config,
            listen,
            bus,
            listeners,
            peers,
            transcript,
            key,
        }
    }

    /// Calls the management API of the latest process. Returns the status line and the body.
    fn call(&mut self, text: &str) -> (String, String) {
        let (head, body) = text
            .split_once(" {")
            .map_or((text, String::new()), |(h, b)| (h, format!("{{{b}")));
        let mut stream = connect(&self.management);
        let length = body.len();
        write!(
            stream,
            "{head} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"
        )
        .unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap();
        (head.lines().next().unwrap().to_owned(), body.to_owned())
    }

    /// Waits until the latest process reports that it is healthy.
    fn wait_until_healthy(&mut self) {
        let deadline = Instant::now() + WAIT;
        while !self.call("GET /admin/health").0.contains(" 200 ") {
            assert!(Instant::now() < deadline, "the process is not healthy");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn process(&mut self, who: &str) -> &mut Child {
        if who == "old" {
            self.old
                .as_mut()
                .expect("`old` should follow an `upgrade` step")
        } else {
            &mut self.child
        }
    }

    fn record(&mut self, who: &str, what: &str) {
        writeln!(self.transcript, "{who} {what}").unwrap();
    }

    fn peer(&mut self, who: &str) -> &mut BufReader<TcpStream> {
        &mut self
            .peers
            .get_mut(who)
            .unwrap_or_else(|| panic!("the script has no connection named {who}"))
            .0
    }

    fn add_connection(&mut self, who: &str, stream: TcpStream, engine: Option<usize>) {
        stream.set_nodelay(true).unwrap();
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        self.peers
            .insert(who.to_owned(), (BufReader::new(stream), engine));
    }

    /// Connects a client as soon as the program listens.
    fn open(&mut self, who: &str) {
        let stream = connect(&self.listen);
        self.add_connection(who, stream, None);
    }

    /// Accepts the next connection that the program opens to any engine.
    fn accept(&mut self, who: &str) {
        let deadline = Instant::now() + WAIT;
        loop {
            for i in 0..self.listeners.len() {
                self.listeners[i].set_nonblocking(true).unwrap();
                if let Ok((stream, _)) = self.listeners[i].accept() {
                    let known = self.peers.values().any(|(_, engine)| *engine == Some(i));
                    self.record(
                        who,
                        if known {
                            "accepts at a known engine"
                        } else {
                            "accepts at a new engine"
                        },
                    );
                    return self.add_connection(who, stream, Some(i));
                }
            }
            assert!(
                Instant::now() < deadline,
                "the program opened no connection for {who} to accept"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn send(&mut self, who: &str, bytes: &[u8]) {
        self.peer(who).get_mut().write_all(bytes).unwrap();
    }

    /// Reads a PostgreSQL message from the program and returns its type, or `None` at the end of
    /// the connection.
    fn read_message(&mut self, who: &str) -> Option<u8> {
        let peer = self.peer(who);
        let mut head = [0; 5];
        match peer.read_exact(&mut head) {
            Ok(()) => {}
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset
                ) =>
            {
                self.record(who, "< end");
                return None;
            }
            Err(e) => panic!("{who}: {e}"),
        }
        let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
        peer.read_exact(&mut body).unwrap();
        if head[0] == b'K' && self.key.is_empty() {
            self.key = body.iter().map(|b| format!("\\x{b:02x}")).collect();
        }
        self.record(
            who,
            &format!("< {} {}", head[0] as char, body.escape_ascii()),
        );
        Some(head[0])
    }

    /// Reads a command that the program sends to an engine.
    fn read_command(&mut self, who: &str) {
        let peer = self.peer(who);
        let mut line = Vec::new();
        peer.read_until(b'\n', &mut line).unwrap();
        let words: Vec<_> = line
            .strip_suffix(b"\r\n")
            .unwrap()
            .split(|b| *b == b' ')
            .collect();
        if words[0] == b"serve" {
            let length: usize = std::str::from_utf8(words[3]).unwrap().parse().unwrap();
            let at = line.len();
            line.resize(at + length + 2, 0);
            peer.read_exact(&mut line[at..]).unwrap();
        }
        let text = mask(&line.escape_ascii().to_string());
        self.record(who, &format!("< {text}"));
    }
}

//! Plays the exchanges in `exchanges/*.txt` against the program on real sockets and compares all bytes that
//! it sends with the recorded transcript. `exchanges/README.md` explains the scripts.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used
)]

mod support;

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};

use support::{connect, reserved, WAIT};

/// What a client is owed within 3 s comes within this on any machine.
const SOON: Duration = Duration::from_secs(8);
const SETTINGS: &str = include_str!("exchanges/settings.json");

/// The event bus: says its last number now and then and passes on what the script says.
struct Bus {
    stream: Arc<Mutex<Option<TcpStream>>>,
    last: Arc<Mutex<u64>>,
    hellos: mpsc::Receiver<String>,
}

impl Bus {
    fn start(listener: TcpListener, last: u64) -> Self {
        let (stream, last) = (
            Arc::new(Mutex::new(None::<TcpStream>)),
            Arc::new(Mutex::new(last)),
        );
        let (tell, hellos) = mpsc::channel();
        let (s, l) = (Arc::clone(&stream), Arc::clone(&last));
        std::thread::spawn(move || loop {
            let Ok((peer, _)) = listener.accept() else {
                return;
            };
            let mut hello = String::new();
            BufReader::new(peer.try_clone().unwrap())
                .read_line(&mut hello)
                .unwrap();
            *s.lock().unwrap() = Some(peer);
            if tell.send(hello).is_err() {
                return;
            }
        });
        let s = Arc::clone(&stream);
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(300));
            let last = *l.lock().unwrap();
            if let Some(peer) = &mut *s.lock().unwrap() {
                let _ = peer.write_all(format!("{last}\n").as_bytes());
            }
        });
        Bus {
            stream,
            last,
            hellos,
        }
    }
}

struct Player {
    child: Child,
    /// The process that `child` was started beside.
    old: Option<Child>,
    /// Where operators call.
    management: String,
    folder: PathBuf,
    config: String,
    listen: String,
    bus: Bus,
    listeners: Vec<TcpListener>,
    /// Connections by the script's names, with the engine that one belongs to.
    peers: HashMap<String, (BufReader<TcpStream>, Option<usize>)>,
    transcript: String,
    /// The cancel key of the first session.
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

/// Starts a process over a folder that holds its configuration, with a management address of its own.
fn spawn(folder: &Path, listen: &str) -> (Child, String) {
    let management = reserved();
    let child = program(&folder.join("config.json"))
        .env("PROXY_LISTEN", listen)
        .env("PROXY_MANAGEMENT", &management)
        .env("TMPDIR", folder)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    (child, management)
}

fn free() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

fn server(id: usize, addr: &str, state: &str) -> String {
    format!(
        r#"{{"id":"s-{id}","addr":"{addr}","zone":"z","kind":"k","cell":0,"state":"{state}","weight":1,"started_ms":0}}"#
    )
}

impl Player {
    fn start(name: &str, engines: usize) -> Self {
        let listeners: Vec<_> = (0..engines).map(|_| free()).collect();
        let servers: Vec<_> = listeners
            .iter()
            .enumerate()
            .map(|(i, l)| server(i, &l.local_addr().unwrap().to_string(), "in_service"))
            .collect();
        let bus = free();
        let listen = reserved();
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
        let bus = Bus::start(bus, 1);
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

    /// One call to the management of the latest process: its status line and its body.
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

    /// Waits until the latest process says that it can serve.
    fn healthy(&mut self) {
        let until = Instant::now() + WAIT;
        while !self.call("GET /admin/health").0.contains(" 200 ") {
            assert!(Instant::now() < until, "the process is not healthy");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn process(&mut self, who: &str) -> &mut Child {
        if who == "old" {
            self.old.as_mut().expect("no upgrade")
        } else {
            &mut self.child
        }
    }

    fn note(&mut self, who: &str, what: &str) {
        writeln!(self.transcript, "{who} {what}").unwrap();
    }

    fn peer(&mut self, who: &str) -> &mut BufReader<TcpStream> {
        &mut self
            .peers
            .get_mut(who)
            .unwrap_or_else(|| panic!("no connection {who}"))
            .0
    }

    fn add(&mut self, who: &str, stream: TcpStream, engine: Option<usize>) {
        stream.set_nodelay(true).unwrap();
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        self.peers
            .insert(who.to_owned(), (BufReader::new(stream), engine));
    }

    /// Connects a client, once the program listens.
    fn open(&mut self, who: &str) {
        let stream = connect(&self.listen);
        self.add(who, stream, None);
    }

    /// Takes the next connection that the program opens to any engine.
    fn accept(&mut self, who: &str) {
        let until = Instant::now() + WAIT;
        loop {
            for i in 0..self.listeners.len() {
                self.listeners[i].set_nonblocking(true).unwrap();
                if let Ok((stream, _)) = self.listeners[i].accept() {
                    let known = self.peers.values().any(|(_, engine)| *engine == Some(i));
                    self.note(
                        who,
                        if known {
                            "accepts at a known engine"
                        } else {
                            "accepts at a new engine"
                        },
                    );
                    return self.add(who, stream, Some(i));
                }
            }
            assert!(Instant::now() < until, "no connection for {who}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn send(&mut self, who: &str, bytes: &[u8]) {
        self.peer(who).get_mut().write_all(bytes).unwrap();
    }

    /// Reads one PostgreSQL message of the program; `None` at the end of the connection.
    fn message(&mut self, who: &str) -> Option<u8> {
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
                self.note(who, "< end");
                return None;
            }
            Err(e) => panic!("{who}: {e}"),
        }
        let mut body = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
        peer.read_exact(&mut body).unwrap();
        if head[0] == b'K' && self.key.is_empty() {
            self.key = body.iter().map(|b| format!("\\x{b:02x}")).collect();
        }
        self.note(
            who,
            &format!("< {} {}", head[0] as char, body.escape_ascii()),
        );
        Some(head[0])
    }

    /// Reads one command of the program to an engine.
    fn command(&mut self, who: &str) {
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
        self.note(who, &format!("< {text}"));
    }

    fn step(&mut self, line: &str) {
        let (who, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (verb, text) = rest.split_once(' ').unwrap_or((rest, ""));
        if !matches!(
            verb,
            "accept" | "until" | "soon" | "read" | "end" | "hello" | "byte" | "exit"
        ) {
            self.note(who, rest);
        }
        match (who, verb) {
            ("bus", "hello") => {
                let hello = self.bus.hellos.recv_timeout(WAIT).unwrap();
                self.note(who, &format!("< {}", hello.escape_default()));
            }
            ("bus", "drop") => {
                let old = self.bus.stream.lock().unwrap().take().unwrap();
                old.shutdown(Shutdown::Both).unwrap();
            }
            // It says nothing more on this connection, which stays open.
            ("bus", "mute") => std::mem::forget(self.bus.stream.lock().unwrap().take()),
            // An event N that only an engine list of `ID:PLACE:STATE` changes.
            ("bus", "event") => {
                let mut words = text.split(' ');
                let offset: u64 = words.next().unwrap().parse().unwrap();
                let servers: Vec<_> = words
                    .map(|w| {
                        let w: Vec<_> = w.split(':').collect();
                        let place = &self.listeners[w[1].parse::<usize>().unwrap()];
                        server(
                            w[0].parse().unwrap(),
                            &place.local_addr().unwrap().to_string(),
                            w[2],
                        )
                    })
                    .collect();
                let event = format!(
                    "{{\"offset\":{offset},\"topology\":{{\"version\":2,\"full\":false,\"servers\":[{}]}}}}\n",
                    servers.join(",")
                );
                self.bus
                    .stream
                    .lock()
                    .unwrap()
                    .as_mut()
                    .unwrap()
                    .write_all(event.as_bytes())
                    .unwrap();
                // Only now, or the number alone might overtake its event and look like a gap.
                *self.bus.last.lock().unwrap() = offset;
            }
            ("bus", "say") => {
                let mut stream = self.bus.stream.lock().unwrap();
                stream.as_mut().unwrap().write_all(&unescape(text)).unwrap();
            }
            // A new bus, which the file names from now on; the old one stays as it is.
            ("bus", "move") => {
                let (place, last) = (free(), *self.bus.last.lock().unwrap());
                let mut config: serde_json::Value = serde_json::from_str(&self.config).unwrap();
                config["bus"] = place.local_addr().unwrap().to_string().into();
                std::fs::write(self.folder.join("config.json"), config.to_string()).unwrap();
                std::mem::forget(std::mem::replace(&mut self.bus, Bus::start(place, last)));
            }
            ("program", "config") => std::fs::write(self.folder.join("config.json"), text).unwrap(),
            // A second process beside the first, which is `old` from then on; until it says yes.
            ("program", "upgrade") => {
                let (child, management) = spawn(&self.folder, &self.listen);
                self.old = Some(std::mem::replace(&mut self.child, child));
                self.management = management;
                self.healthy();
            }
            ("operator", "ready") => self.healthy(),
            ("operator", "call") => {
                let (status, body) = self.call(text);
                self.note(who, &format!("< {status} {}", body.escape_default()));
            }
            // A connection to management, for what `call` can't say.
            (_, "manage") => {
                let stream = connect(&self.management);
                self.add(who, stream, None);
            }
            ("program" | "old", "term" | "hup") => {
                let pid = self.process(who).id().to_string();
                let signal = format!("-{}", verb.to_uppercase());
                assert!(Command::new("kill")
                    .args([&signal, &pid])
                    .status()
                    .unwrap()
                    .success());
            }
            ("program" | "old", "exit") => {
                let until = Instant::now() + WAIT;
                let status = loop {
                    match self.process(who).try_wait().unwrap() {
                        Some(status) => break status,
                        None => assert!(Instant::now() < until, "the program did not end"),
                    }
                    std::thread::sleep(Duration::from_millis(10));
                };
                self.note(who, &format!("exit {:?}", status.code()));
            }
            ("sleep", _) => std::thread::sleep(Duration::from_millis(rest.parse().unwrap())),
            (_, "open") => self.open(who),
            (_, "accept") => self.accept(who),
            (_, "say") => self.send(who, &unescape(&text.replace("@KEY@", &self.key))),
            (_, "startup") => self.send(who, &startup()),
            (_, "query") => self.send(who, &query(text)),
            // Both in one packet, as a client may.
            (_, "startup+query") => self.send(who, &[startup(), query(text)].concat()),
            (_, "until" | "soon") => {
                let begun = Instant::now();
                loop {
                    let kind = self.message(who);
                    if kind.is_none() || kind == text.bytes().next() {
                        break;
                    }
                }
                assert!(
                    verb == "until" || begun.elapsed() < SOON,
                    "{who} waits too long"
                );
            }
            (_, "byte") => {
                let mut byte = [0];
                self.peer(who).read_exact(&mut byte).unwrap();
                self.note(who, &format!("< {}", byte.escape_ascii()));
            }
            (_, "read") => self.command(who),
            (_, "end") => {
                let mut rest = Vec::new();
                let _ = self.peer(who).read_to_end(&mut rest);
                self.note(who, &format!("< {} end", rest.escape_ascii()));
            }
            // Closes the connection, and if it is an engine's the engine with it.
            (_, "close") => {
                let (peer, _) = self.peers.get(who).unwrap();
                peer.get_ref().shutdown(Shutdown::Both).unwrap();
            }
            _ => panic!("no such step: {line}"),
        }
    }
}

/// Times differ with every run.
fn mask(text: &str) -> String {
    let Some((before, after)) = text.split_once("patience=") else {
        return text.to_owned();
    };
    format!(
        "{before}patience=*{}",
        after.trim_start_matches(|c: char| c.is_ascii_digit())
    )
}

fn unescape(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        out.push(match b {
            b'\\' => match bytes.next().unwrap() {
                b'r' => b'\r',
                b'n' => b'\n',
                b't' => b'\t',
                b'x' => {
                    let digits = [bytes.next().unwrap(), bytes.next().unwrap()];
                    u8::from_str_radix(std::str::from_utf8(&digits).unwrap(), 16).unwrap()
                }
                other => other,
            },
            b => b,
        });
    }
    out
}

fn startup() -> Vec<u8> {
    let body = b"\x00\x03\x00\x00user\0app\0database\0analytics\0\0";
    [&(body.len() as u32 + 4).to_be_bytes(), &body[..]].concat()
}

fn query(text: &str) -> Vec<u8> {
    [
        b"Q",
        &(text.len() as u32 + 5).to_be_bytes()[..],
        text.as_bytes(),
        b"\0",
    ]
    .concat()
}

fn program(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_violetgate"));
    command
        .env("PROXY_CONFIG", config)
        .env("PROXY_NAME", "n0")
        .stdin(Stdio::null());
    command
}

#[test]
fn the_program_answers_as_recorded() {
    insta::glob!("exchanges/*.txt", |path| {
        let script = std::fs::read_to_string(path).unwrap();
        let mut steps = script
            .lines()
            .filter(|l| !l.is_empty() && !l.starts_with('#'));
        let engines = steps
            .next()
            .and_then(|l| l.strip_prefix("engines "))
            .unwrap()
            .parse()
            .unwrap();
        let mut player = Player::start(path.file_stem().unwrap().to_str().unwrap(), engines);
        steps.for_each(|line| player.step(line));
        insta::with_settings!({ omit_expression => true, prepend_module_to_snapshot => false }, {
            insta::assert_snapshot!(std::mem::take(&mut player.transcript));
        });
    });
}

/// A configuration that can't be used ends the program with one line that says why.
#[test]
fn a_bad_configuration_is_told_in_one_line() {
    let folder = std::env::temp_dir().join(format!("violetgate-{}-config", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("config.json");
    for (text, says) in [
        ("{", "EOF"),
        ("{\"listen\":\"127.0.0.1:0\"}", "missing field `seed`"),
        (
            r#"{"listen":"nowhere","seed":"1","bus":"127.0.0.1:1","known":{"offset":0},"settings":{}}"#,
            "`listen`: \"nowhere\"",
        ),
        (
            r#"{"listen":"127.0.0.1:0","seed":"1","bus":"127.0.0.1:1","known":{"offset":0},
            "settings":{"classes":[{"deadline":"soon"}]}}"#,
            "classes[0].deadline",
        ),
        (
            r#"{"listen":"127.0.0.1:9","management":"127.0.0.1:9","seed":"1","bus":"127.0.0.1:1",
            "known":{"offset":0},"settings":{}}"#,
            "`management`: 127.0.0.1:9 is where clients connect",
        ),
    ] {
        std::fs::write(&path, text).unwrap();
        let output = program(&path).env_remove("PROXY_LISTEN").output().unwrap();
        let log = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{text}: {log}");
        assert!(
            log.lines().count() == 1 && log.contains(says),
            "{text}: {log}"
        );
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

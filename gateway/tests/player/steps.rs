//! The steps of a script. Each line is a step: `WHO VERB TEXT`.

use std::io::{Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use violetgate_test_harness::{send_signal, Signal};

use super::bytes::{mask, query, startup, unescape};
use super::fake_bus::FakeBus;
use super::{bind_loopback, server, spawn, Player};
use crate::support::{connect, WAIT};

/// Maximum time for an answer that the program must send within 3 s. The rest is a margin for slow
/// machines.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Steps that record what they read, instead of the step itself.
const READING_STEPS: [&str; 8] = [
    "accept", "until", "soon", "read", "end", "hello", "byte", "exit",
];

impl Player {
    /// Executes one line of a script.
    pub fn step(&mut self, line: &str) {
        let (who, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (verb, text) = rest.split_once(' ').unwrap_or((rest, ""));
        if !READING_STEPS.contains(&verb) {
            self.record(who, rest);
        }
        match (who, verb) {
            ("sleep", _) => std::thread::sleep(Duration::from_millis(rest.parse().unwrap())),
            ("bus", "hello" | "drop" | "mute" | "event" | "say" | "move") => {
                self.bus_step(verb, text);
            }
            ("program" | "old", "config" | "upgrade" | "term" | "hup" | "exit") => {
                self.process_step(who, verb, text);
            }
            ("operator", "ready") => self.wait_until_healthy(),
            ("operator", "call") => {
                let (status, body) = self.call(text);
                let body = mask(&body.escape_default().to_string());
                self.record(who, &format!("< {status} {body}"));
            }
            _ => self.connection_step(who, verb, text, line),
        }
    }

    fn bus_step(&mut self, verb: &str, text: &str) {
        match verb {
            "hello" => {
                let hello = self.bus.hellos.recv_timeout(WAIT).unwrap();
                self.record("bus", &format!("< {}", hello.escape_default()));
            }
            "drop" => {
                let old = self.bus.stream.lock().unwrap().take().unwrap();
                old.shutdown(Shutdown::Both).unwrap();
            }
            // The bus stops sending on this connection, which stays open.
            "mute" => std::mem::forget(self.bus.stream.lock().unwrap().take()),
            "event" => self.send_event(text),
            "say" => {
                let mut stream = self.bus.stream.lock().unwrap();
                stream.as_mut().unwrap().write_all(&unescape(text)).unwrap();
            }
            // Starts a new bus and writes its address to the configuration file. The old bus keeps
            // running.
            "move" => {
                let (listener, last) = (bind_loopback(), *self.bus.last.lock().unwrap());
                let mut config: serde_json::Value = serde_json::from_str(&self.config).unwrap();
                config["bus"] = listener.local_addr().unwrap().to_string().into();
                std::fs::write(self.folder.join("config.json"), config.to_string()).unwrap();
                std::mem::forget(std::mem::replace(
                    &mut self.bus,
                    FakeBus::start(listener, last),
                ));
            }
            _ => unreachable!("{verb}"),
        }
    }

    /// Sends an event `OFFSET ID:LISTENER:STATE ...`. Without engines, the event does not change
    /// the engine list.
    fn send_event(&mut self, text: &str) {
        let mut words = text.split(' ');
        let offset: u64 = words.next().unwrap().parse().unwrap();
        let servers: Vec<_> = words
            .map(|word| {
                let parts: Vec<_> = word.split(':').collect();
                let listener = &self.listeners[parts[1].parse::<usize>().unwrap()];
                let address = listener.local_addr().unwrap().to_string();
                server(parts[0].parse().unwrap(), &address, parts[2])
            })
            .collect();
        let event = format!(
            "{{\"offset\":{offset},\"topology\":{{\"version\":2,\"full\":false,\"servers\":[{}]}}}}\n",
            servers.join(",")
        );
        let mut stream = self.bus.stream.lock().unwrap();
        stream
            .as_mut()
            .unwrap()
            .write_all(event.as_bytes())
            .unwrap();
        drop(stream);
        // The offset is updated after the event is sent. Otherwise the offset alone could be sent
        // first, and the gateway would conclude that it missed events.
        *self.bus.last.lock().unwrap() = offset;
    }

    fn process_step(&mut self, who: &str, verb: &str, text: &str) {
        match verb {
            "config" => std::fs::write(self.folder.join("config.json"), text).unwrap(),
            // Starts a second process beside the first, which becomes `old`, and waits until the
            // second is healthy.
            "upgrade" => {
                let (child, management) = spawn(&self.folder, &self.listen);
                self.old = Some(std::mem::replace(&mut self.child, child));
                self.management = management;
                self.wait_until_healthy();
            }
            "term" | "hup" => {
                let signal = if verb == "term" {
                    Signal::TERM
                } else {
                    Signal::HUP
                };
                send_signal(self.process(who).id(), signal).unwrap();
            }
            "exit" => {
                let deadline = Instant::now() + WAIT;
                let status = loop {
                    match self.process(who).try_wait().unwrap() {
                        Some(status) => break status,
                        None => assert!(Instant::now() < deadline, "the program did not exit"),
                    }
                    std::thread::sleep(Duration::from_millis(10));
                };
                self.record(who, &format!("exit {:?}", status.code()));
            }
            _ => unreachable!("{verb}"),
        }
    }

    /// Executes a step on a connection of a client, an engine or an operator.
    fn connection_step(&mut self, who: &str, verb: &str, text: &str, line: &str) {
        match verb {
            // Opens a connection to the management API, for requests that `call` can't express.
            "manage" => {
                let stream = connect(&self.management);
                self.add_connection(who, stream, None);
            }
            "open" => self.open(who),
            "accept" => self.accept(who),
            "say" => self.send(who, &unescape(&text.replace("@KEY@", &self.key))),
            "startup" => self.send(who, &startup()),
            "query" => self.send(who, &query(text)),
            // Sends both messages in one write, as a client may.
            "startup+query" => self.send(who, &[startup(), query(text)].concat()),
            "until" | "soon" => self.read_messages(who, verb, text),
            "byte" => {
                let mut byte = [0];
                self.peer(who).read_exact(&mut byte).unwrap();
                self.record(who, &format!("< {}", byte.escape_ascii()));
            }
            "read" => self.read_command(who),
            "end" => {
                let mut rest = Vec::new();
                let _ = self.peer(who).read_to_end(&mut rest);
                self.record(who, &format!("< {} end", rest.escape_ascii()));
            }
            // Closes this connection only. The listener of an engine stays open.
            "close" => {
                let (peer, _) = self.peers.get(who).unwrap();
                peer.get_ref().shutdown(Shutdown::Both).unwrap();
            }
            _ => panic!("no such step: {line}"),
        }
    }

    /// Reads messages up to one of the given type or the end of the connection. `soon` fails if
    /// this takes too long.
    fn read_messages(&mut self, who: &str, verb: &str, kind: &str) {
        let begun = Instant::now();
        loop {
            let read = self.read_message(who);
            if read.is_none() || read == kind.bytes().next() {
                break;
            }
        }
        assert!(
            verb == "until" || begun.elapsed() < ANSWER_TIMEOUT,
            "{who} waited too long for an answer"
        );
    }
}

//! The steps of a script, a line each: `WHO VERB TEXT`.

use std::io::{Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use violetgate_test_harness::{send_signal, Signal};

use super::bytes::{query, startup, unescape};
use super::fake_bus::FakeBus;
use super::{free, server, spawn, Player};
use crate::support::{connect, WAIT};

/// What a client is owed within 3 s comes within this on any machine.
const SOON: Duration = Duration::from_secs(8);

/// Steps that write what they have read, and not themselves, to the transcript.
const READING_STEPS: [&str; 8] = [
    "accept", "until", "soon", "read", "end", "hello", "byte", "exit",
];

impl Player {
    /// Carries out one line of a script.
    pub fn step(&mut self, line: &str) {
        let (who, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (verb, text) = rest.split_once(' ').unwrap_or((rest, ""));
        if !READING_STEPS.contains(&verb) {
            self.note(who, rest);
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
                self.note(who, &format!("< {status} {}", body.escape_default()));
            }
            _ => self.connection_step(who, verb, text, line),
        }
    }

    fn bus_step(&mut self, verb: &str, text: &str) {
        match verb {
            "hello" => {
                let hello = self.bus.hellos.recv_timeout(WAIT).unwrap();
                self.note("bus", &format!("< {}", hello.escape_default()));
            }
            "drop" => {
                let old = self.bus.stream.lock().unwrap().take().unwrap();
                old.shutdown(Shutdown::Both).unwrap();
            }
            // It sends nothing more on this connection, which stays open.
            "mute" => std::mem::forget(self.bus.stream.lock().unwrap().take()),
            "event" => self.send_event(text),
            "say" => {
                let mut stream = self.bus.stream.lock().unwrap();
                stream.as_mut().unwrap().write_all(&unescape(text)).unwrap();
            }
            // A new bus, which the file names from now on; the old one stays as it is.
            "move" => {
                let (listener, last) = (free(), *self.bus.last.lock().unwrap());
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

    /// Sends an event `N ID:PLACE:STATE ...`; without engines, one that changes no engine list.
    fn send_event(&mut self, text: &str) {
        let mut words = text.split(' ');
        let offset: u64 = words.next().unwrap().parse().unwrap();
        let servers: Vec<_> = words
            .map(|word| {
                let parts: Vec<_> = word.split(':').collect();
                let place = &self.listeners[parts[1].parse::<usize>().unwrap()];
                let address = place.local_addr().unwrap().to_string();
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
        // Only now, or the number alone might overtake its event and look like a gap.
        *self.bus.last.lock().unwrap() = offset;
    }

    fn process_step(&mut self, who: &str, verb: &str, text: &str) {
        match verb {
            "config" => std::fs::write(self.folder.join("config.json"), text).unwrap(),
            // A second process beside the first, which is `old` from then on; until it is healthy.
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
            _ => unreachable!("{verb}"),
        }
    }

    /// A step of a client's, an engine's or an operator's connection.
    fn connection_step(&mut self, who: &str, verb: &str, text: &str, line: &str) {
        match verb {
            // A connection to management, for what `call` can't say.
            "manage" => {
                let stream = connect(&self.management);
                self.add(who, stream, None);
            }
            "open" => self.open(who),
            "accept" => self.accept(who),
            "say" => self.send(who, &unescape(&text.replace("@KEY@", &self.key))),
            "startup" => self.send(who, &startup()),
            "query" => self.send(who, &query(text)),
            // Both in one packet, as a client may.
            "startup+query" => self.send(who, &[startup(), query(text)].concat()),
            "until" | "soon" => self.read_messages(who, verb, text),
            "byte" => {
                let mut byte = [0];
                self.peer(who).read_exact(&mut byte).unwrap();
                self.note(who, &format!("< {}", byte.escape_ascii()));
            }
            "read" => self.command(who),
            "end" => {
                let mut rest = Vec::new();
                let _ = self.peer(who).read_to_end(&mut rest);
                self.note(who, &format!("< {} end", rest.escape_ascii()));
            }
            // Closes the connection, and if it is an engine's the engine with it.
            "close" => {
                let (peer, _) = self.peers.get(who).unwrap();
                peer.get_ref().shutdown(Shutdown::Both).unwrap();
            }
            _ => panic!("no such step: {line}"),
        }
    }

    /// Reads messages up to one of a type, or to the end; `soon`: in time.
    fn read_messages(&mut self, who: &str, verb: &str, kind: &str) {
        let begun = Instant::now();
        loop {
            let read = self.message(who);
            if read.is_none() || read == kind.bytes().next() {
                break;
            }
        }
        assert!(
            verb == "until" || begun.elapsed() < SOON,
            "{who} waits too long"
        );
    }
}

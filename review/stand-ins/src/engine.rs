//! An engine on the line protocol. It runs all that it is sent at once, drops repeats of a key
//! within the window, stops work that is cancelled or whose connection closes, and notes what
//! reached it.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::pause;
use crate::record::Record;

/// A `serve` command that came whole to an engine.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub engine: String,
    pub id: String,
    pub key: Option<String>,
    pub statement: String,
}

/// What an engine does with a request.
#[derive(Debug, Clone)]
pub enum Plan {
    /// Runs it for so many milliseconds, then answers `ok`.
    Run(u64),
    /// Runs it for so many milliseconds, and answers nothing: the engine hangs after the work.
    RunAndHang(u64),
    /// Answers `refused` at once: full, it never ran.
    Refuse,
}

/// What all engines of a deployment share: the keys that they have seen, and the notes.
pub struct Shared {
    pub record: Record,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// By key: when the attempt that took effect was sent, and how often the key took effect.
    pub effects: Mutex<HashMap<String, (Duration, u32)>>,
    /// For how long engines drop a repeat, from the sending of the attempt that took effect.
    pub window: Duration,
    plan: Box<dyn Fn(&Arrival) -> Plan + Send + Sync>,
}

impl Shared {
    #[must_use]
    pub fn new(
        record: &Record,
        window: Duration,
        plan: impl Fn(&Arrival) -> Plan + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Shared {
            record: record.clone(),
            arrivals: Mutex::default(),
            effects: Mutex::default(),
            window,
            plan: Box::new(plan),
        })
    }

    /// Returns how often a key took effect.
    #[must_use]
    pub fn effects_of(&self, key: &str) -> u32 {
        self.effects
            .lock()
            .unwrap()
            .get(key)
            .map_or(0, |(_, count)| *count)
    }

    /// The effect of an attempt that has run to its end.
    fn take_effect(&self, arrival: &Arrival) {
        let Some(key) = &arrival.key else { return };
        let mut effects = self.effects.lock().unwrap();
        let entry = effects.entry(key.clone()).or_insert((arrival.at, 0));
        if entry.1 > 0 && arrival.at < entry.0 + self.window {
            self.record
                .line(&format!("{}: repeat of {key} dropped", arrival.engine));
            return;
        }
        *entry = (arrival.at, entry.1 + 1);
        self.record.line(&format!(
            "{}: effect {} of {key}, by {}",
            arrival.engine, entry.1, arrival.id
        ));
    }
}

/// An engine that listens until it is dropped.
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    is_up: Arc<AtomicBool>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails if its address can't be bound.
    pub fn start(id: &str, addr: SocketAddr, shared: &Arc<Shared>) -> Result<Self> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let is_up = Arc::new(AtomicBool::new(true));
        let (name, shared, running) = (id.to_owned(), Arc::clone(shared), Arc::clone(&is_up));
        std::thread::spawn(move || {
            while running.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let (name, shared) = (name.clone(), Arc::clone(&shared));
                        std::thread::spawn(move || {
                            let _ = serve(&name, &shared, stream);
                        });
                    }
                    Err(_) => pause(2),
                }
            }
        });
        Ok(Engine {
            id: id.to_owned(),
            addr,
            is_up,
        })
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.is_up.store(false, Ordering::SeqCst);
    }
}

type Running = Arc<Mutex<HashMap<String, Arc<AtomicBool>>>>;

fn serve(name: &str, shared: &Arc<Shared>, stream: TcpStream) -> Result<()> {
    let running: Running = Arc::default();
    let mut reader = BufReader::new(stream.try_clone()?);
    let writer = Arc::new(Mutex::new(stream));
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            break;
        }
        let line = line.trim_end().to_owned();
        let words: Vec<&str> = line.split(' ').collect();
        match words.as_slice() {
            ["serve", id, fields, length] => {
                let length: usize = length.parse().unwrap_or(0);
                let mut body = vec![0; length + 2];
                reader.read_exact(&mut body)?;
                body.truncate(length);
                let key = fields
                    .split(',')
                    .find_map(|field| field.strip_prefix("op="));
                let arrival = Arrival {
                    at: shared.record.now(),
                    engine: name.to_owned(),
                    id: (*id).to_owned(),
                    key: key.map(str::to_owned),
                    statement: String::from_utf8_lossy(&body).into_owned(),
                };
                shared
                    .record
                    .line(&format!("{name}: {line} | {}", arrival.statement));
                shared.arrivals.lock().unwrap().push(arrival.clone());
                run(shared, arrival, &running, &writer);
            }
            ["cancel", id] => {
                shared.record.line(&format!("{name}: {line}"));
                if let Some(stop) = running.lock().unwrap().remove(*id) {
                    stop.store(true, Ordering::SeqCst);
                }
            }
            ["health", tag] => {
                writer
                    .lock()
                    .unwrap()
                    .write_all(format!("{tag} yes - 0\r\n\r\n").as_bytes())?;
            }
            ["read", id, _] => {
                let text = format!("{id} error - 0\r\n\r\n");
                writer.lock().unwrap().write_all(text.as_bytes())?;
            }
            _ => {}
        }
    }
    // Closing a connection gives up everything that is open on it.
    for (_, stop) in running.lock().unwrap().drain() {
        stop.store(true, Ordering::SeqCst);
    }
    let _ = writer.lock().unwrap().shutdown(Shutdown::Both);
    Ok(())
}

fn run(shared: &Arc<Shared>, arrival: Arrival, running: &Running, writer: &Arc<Mutex<TcpStream>>) {
    let plan = (shared.plan)(&arrival);
    let (shared, running, writer) = (Arc::clone(shared), Arc::clone(running), Arc::clone(writer));
    let stop = Arc::new(AtomicBool::new(false));
    running
        .lock()
        .unwrap()
        .insert(arrival.id.clone(), Arc::clone(&stop));
    std::thread::spawn(move || {
        let (ms, answers) = match plan {
            Plan::Run(ms) => (ms, true),
            Plan::RunAndHang(ms) => (ms, false),
            Plan::Refuse => {
                running.lock().unwrap().remove(&arrival.id);
                shared
                    .record
                    .line(&format!("{}: refused {}", arrival.engine, arrival.id));
                let text = format!("{} refused - 0\r\n\r\n", arrival.id);
                let _ = writer.lock().unwrap().write_all(text.as_bytes());
                return;
            }
        };
        let end = shared.record.now() + Duration::from_millis(ms);
        while shared.record.now() < end {
            if stop.load(Ordering::SeqCst) {
                return shared
                    .record
                    .line(&format!("{}: stopped {}", arrival.engine, arrival.id));
            }
            pause(2);
        }
        shared.take_effect(&arrival);
        if answers && !stop.load(Ordering::SeqCst) {
            running.lock().unwrap().remove(&arrival.id);
            let row = format!("{}\t{}\tdone\n", arrival.id, arrival.engine);
            let head = format!(
                "{} ok chunks=1,spent={ms},wanted=16 {}\r\n",
                arrival.id,
                row.len()
            );
            shared
                .record
                .line(&format!("{}: answered {}", arrival.engine, arrival.id));
            let _ = writer
                .lock()
                .unwrap()
                .write_all(format!("{head}{row}\r\n").as_bytes());
        }
    });
}

//! The event bus as one start of one front end sees it. Its events are counted from 1 at that start
//! (PROTOCOL, "The event bus"), so each start of a front end has a bus of its own.

use std::io::{BufRead, BufReader, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::pause;
use crate::record::Record;

/// An entry of the engine list.
#[derive(Debug, Clone)]
pub struct Listed {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub state: &'static str,
    pub weight: u32,
}

impl Listed {
    fn json(&self) -> String {
        let Listed {
            id,
            addr,
            zone,
            kind,
            state,
            weight,
        } = self;
        format!(
            "{{\"id\":\"{id}\",\"addr\":\"{addr}\",\"zone\":\"{zone}\",\"kind\":\"{kind}\",\"cell\":0,\
             \"state\":\"{state}\",\"weight\":{weight},\"started_ms\":0}}"
        )
    }
}

struct Inner {
    name: String,
    addr: SocketAddr,
    record: Record,
    events: Mutex<Vec<String>>,
    is_up: AtomicBool,
    generation: Mutex<u64>,
    streams: Mutex<Vec<TcpStream>>,
}

/// The event bus of one start of one front end.
#[derive(Clone)]
pub struct Bus(Arc<Inner>);

impl Bus {
    /// Creates a bus that is down and whose first event holds the whole list.
    #[must_use]
    pub fn new(name: &str, addr: SocketAddr, list: &[Listed], record: &Record) -> Self {
        let bus = Bus(Arc::new(Inner {
            name: name.to_owned(),
            addr,
            record: record.clone(),
            events: Mutex::default(),
            is_up: AtomicBool::new(false),
            generation: Mutex::new(0),
            streams: Mutex::default(),
        }));
        bus.publish(true, list);
        bus
    }

    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    /// Returns the value of `known`: the events up to now.
    #[must_use]
    pub fn known(&self) -> String {
        let events = self.0.events.lock().unwrap();
        format!(
            "{{\"offset\":{},\"batch\":[{}]}}",
            events.len(),
            events.join(",")
        )
    }

    /// Puts an event into the bus. From now on it counts as told.
    pub fn publish(&self, full: bool, servers: &[Listed]) {
        let mut events = self.0.events.lock().unwrap();
        let offset = events.len() + 1;
        let servers: Vec<String> = servers.iter().map(Listed::json).collect();
        let event = format!(
            "{{\"offset\":{offset},\"topology\":{{\"version\":{offset},\"full\":{full},\"servers\":[{}]}}}}",
            servers.join(",")
        );
        self.0
            .record
            .line(&format!("bus of {}: event {event}", self.0.name));
        events.push(event);
    }

    /// Begins to listen.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn go_up(&self) -> Result<()> {
        let deadline = Instant::now() + Duration::from_secs(5);
        let listener = loop {
            match TcpListener::bind(self.0.addr) {
                Err(_) if Instant::now() < deadline => pause(20),
                bound => break bound?,
            }
        };
        listener.set_nonblocking(true)?;
        self.0.is_up.store(true, Ordering::SeqCst);
        let generation = {
            let mut generation = self.0.generation.lock().unwrap();
            *generation += 1;
            *generation
        };
        self.0.record.line(&format!("bus of {}: up", self.0.name));
        let bus = self.clone();
        std::thread::spawn(move || bus.accept(&listener, generation));
        Ok(())
    }

    /// Stops to listen and closes all connections: new ones are refused.
    pub fn go_down(&self) {
        self.0.is_up.store(false, Ordering::SeqCst);
        self.0.record.line(&format!("bus of {}: down", self.0.name));
        pause(60);
        for stream in self.0.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn is_current(&self, generation: u64) -> bool {
        self.0.is_up.load(Ordering::SeqCst) && *self.0.generation.lock().unwrap() == generation
    }

    fn accept(&self, listener: &TcpListener, generation: u64) {
        while self.is_current(generation) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(copy) = stream.try_clone() {
                        self.0.streams.lock().unwrap().push(copy);
                    }
                    let bus = self.clone();
                    std::thread::spawn(move || bus.serve(stream, generation));
                }
                Err(_) => pause(10),
            }
        }
    }

    /// Reads `from N`, writes all later events, and each second the last number alone.
    fn serve(&self, mut stream: TcpStream, generation: u64) -> Option<()> {
        let mut line = String::new();
        BufReader::new(stream.try_clone().ok()?)
            .read_line(&mut line)
            .ok()?;
        self.0.record.line(&format!(
            "bus of {}: got {:?}",
            self.0.name,
            line.trim_end()
        ));
        let mut last: usize = line.trim().strip_prefix("from ")?.parse().ok()?;
        let mut next_number = Instant::now() + Duration::from_secs(1);
        while self.is_current(generation) {
            let events: Vec<String> = self.0.events.lock().unwrap().clone();
            for event in events.iter().skip(last) {
                stream.write_all(format!("{event}\n").as_bytes()).ok()?;
                last += 1;
            }
            if Instant::now() >= next_number {
                next_number += Duration::from_secs(1);
                stream
                    .write_all(format!("{}\n", events.len()).as_bytes())
                    .ok()?;
            }
            pause(5);
        }
        Some(())
    }
}

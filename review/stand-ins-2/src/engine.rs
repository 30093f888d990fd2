//! An engine that speaks the line protocol, answers each request after a time with one row, and
//! notes what reaches it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::support::{note, now_ms};

/// A request that has come whole to the engine.
#[derive(Debug, Clone)]
pub struct Served {
    pub at_ms: f64,
    pub statement: String,
}

/// An engine. Its threads end with the process.
#[derive(Clone)]
pub struct Engine {
    pub name: &'static str,
    pub addr: SocketAddr,
    served: Arc<Mutex<Vec<Served>>>,
    cancelled: Arc<Mutex<Vec<String>>>,
}

/// The run of a statement in milliseconds: the number behind `run=` in it, or else `default_ms`.
fn run_ms(statement: &str, default_ms: u64) -> u64 {
    let text = statement.split("run=").nth(1).unwrap_or_default();
    let digits: String = text.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(default_ms)
}

impl Engine {
    /// Starts an engine that takes `run_ms` for a request whose statement says nothing else.
    pub fn start(name: &'static str, run_ms: u64) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let addr = listener.local_addr().map_err(|error| error.to_string())?;
        let engine = Engine {
            name,
            addr,
            served: Arc::default(),
            cancelled: Arc::default(),
        };
        let accepting = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = accepting.clone();
                std::thread::spawn(move || engine.serve(stream, run_ms));
            }
        });
        Ok(engine)
    }

    /// Returns all requests so far.
    pub fn served(&self) -> Vec<Served> {
        match self.served.lock() {
            Ok(served) => served.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }

    fn add(&self, served: Served) {
        if let Ok(mut all) = self.served.lock() {
            all.push(served);
        }
    }

    fn is_cancelled(&self, id: &str) -> bool {
        self.cancelled
            .lock()
            .is_ok_and(|ids| ids.iter().any(|other| other == id))
    }

    fn serve(&self, stream: TcpStream, default_ms: u64) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let writer = Arc::new(Mutex::new(writer));
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            if !reader.read_line(&mut line).is_ok_and(|size| size > 0) {
                return;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            match words[..] {
                ["serve", id, fields, length] => {
                    let length: usize = length.parse().unwrap_or(0);
                    let mut body = vec![0; length + 2];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    body.truncate(length);
                    let statement = String::from_utf8_lossy(&body).into_owned();
                    let served = Served {
                        at_ms: now_ms(),
                        statement: statement.clone(),
                    };
                    note(&format!(
                        "{} got serve {id} {fields} {statement}",
                        self.name
                    ));
                    self.add(served);
                    let engine = self.clone();
                    let (id, writer) = (id.to_owned(), Arc::clone(&writer));
                    let run = run_ms(&statement, default_ms);
                    std::thread::spawn(move || engine.answer(&id, run, &writer));
                }
                ["cancel", id] => {
                    note(&format!("{} got cancel {id}", self.name));
                    if let Ok(mut ids) = self.cancelled.lock() {
                        ids.push(id.to_owned());
                    }
                }
                ["health", tag] => {
                    if let Ok(mut writer) = writer.lock() {
                        let _ = writer.write_all(format!("{tag} yes - 0\r\n\r\n").as_bytes());
                    }
                }
                _ => {}
            }
        }
    }

    fn answer(&self, id: &str, run: u64, writer: &Mutex<TcpStream>) {
        std::thread::sleep(Duration::from_millis(run));
        if self.is_cancelled(id) {
            return;
        }
        let row = format!("{id}\t{}\tdone\n", self.name);
        let text = format!(
            "{id} ok chunks=1,spent={run},wanted=8 {}\r\n{row}\r\n",
            row.len()
        );
        if let Ok(mut writer) = writer.lock() {
            let _ = writer.write_all(text.as_bytes());
            note(&format!("{} answered {id}", self.name));
        }
    }
}

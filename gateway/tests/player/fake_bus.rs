//! The event bus that a script controls.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::time::Duration;

/// An event bus that sends its last offset every 300 ms, and otherwise what the script sends.
pub struct FakeBus {
    pub stream: Arc<Mutex<Option<TcpStream>>>,
    pub last: Arc<Mutex<u64>>,
    pub hellos: mpsc::Receiver<String>,
}

impl FakeBus {
    pub fn start(listener: TcpListener, last: u64) -> Self {
        let (stream, last) = (
            Arc::new(Mutex::new(None::<TcpStream>)),
            Arc::new(Mutex::new(last)),
        );
        let (hello_sender, hellos) = mpsc::channel();
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
            if hello_sender.send(hello).is_err() {
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
        FakeBus {
            stream,
            last,
            hellos,
        }
    }
}

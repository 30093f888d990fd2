//! The stand-in event bus: numbered events of the engine list, and the last number each second.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::Executor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::FutureExt;
use serde_json::{json, Value};

use crate::lock;

const BEAT: Duration = Duration::from_secs(1);
/// Connections that the machine may hold until they are accepted: a large fleet may come at once.
const BACKLOG: i32 = 4_096;

pub(crate) struct Bus {
    pub addr: SocketAddr,
    state: Mutex<State>,
    /// Followers wait on it: thousands of them cost nothing while nothing happens.
    changed: Event,
}

#[derive(Default)]
struct State {
    events: Vec<Value>,
    /// How often all that were open fell silent.
    muted: u64,
    followers: Vec<Arc<Async<TcpStream>>>,
}

impl Bus {
    pub fn start(executor: &Arc<Executor<'static>>) -> std::io::Result<Arc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        // Listening once more only makes the machine's queue longer.
        rustix::net::listen(listener.get_ref(), BACKLOG)?;
        let bus = Arc::new(Bus {
            addr: listener.get_ref().local_addr()?,
            state: Mutex::default(),
            changed: Event::new(),
        });
        let (serving, on) = (Arc::clone(&bus), Arc::clone(executor));
        executor
            .spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let stream = Arc::new(stream);
                    lock(&serving.state).followers.push(Arc::clone(&stream));
                    let bus = Arc::clone(&serving);
                    on.spawn(async move {
                        let _ = bus.follow(&stream).await;
                        let _ = stream.get_ref().shutdown(Shutdown::Both);
                        lock(&bus.state)
                            .followers
                            .retain(|f| !Arc::ptr_eq(f, &stream));
                    })
                    .detach();
                }
            })
            .detach();
        Ok(bus)
    }

    /// The last number, and all events up to it.
    pub fn known(&self) -> (u64, Vec<Value>) {
        let state = lock(&self.state);
        (state.events.len() as u64, state.events.clone())
    }

    pub fn say(&self, full: bool, servers: &[Value]) {
        let mut state = lock(&self.state);
        let offset = state.events.len() + 1;
        let topology = json!({"version": offset, "full": full, "servers": servers});
        state
            .events
            .push(json!({"offset": offset, "topology": topology}));
        drop(state);
        self.changed.notify(usize::MAX);
    }

    pub fn break_off(&self) {
        for follower in lock(&self.state).followers.drain(..) {
            let _ = follower.get_ref().shutdown(Shutdown::Both);
        }
    }

    /// Every watch that is open now says nothing more, and stays open; new ones are as ever.
    pub fn mute(&self) {
        lock(&self.state).muted += 1;
        self.changed.notify(usize::MAX);
    }

    async fn follow(&self, stream: &Async<TcpStream>) -> std::io::Result<()> {
        let born = lock(&self.state).muted;
        let mut hello = Vec::new();
        let mut byte = [0];
        while !hello.ends_with(b"\n") && hello.len() < 64 {
            if stream.read_with(|mut s| s.read(&mut byte)).await? == 0 {
                return Ok(());
            }
            hello.extend_from_slice(&byte);
        }
        let hello = String::from_utf8_lossy(&hello).into_owned();
        let from = hello
            .trim()
            .strip_prefix("from ")
            .and_then(|n| n.parse::<usize>().ok());
        let Some(mut next) = from else { return Ok(()) };
        let mut beat = Timer::after(BEAT);
        loop {
            let changed = self.changed.listen();
            if lock(&self.state).muted > born {
                while stream.read_with(|mut s| s.read(&mut byte)).await? > 0 {}
                return Ok(());
            }
            let lines: Vec<String> = lock(&self.state)
                .events
                .iter()
                .skip(next)
                .map(|e| format!("{e}\n"))
                .collect();
            for line in lines {
                self.write(stream, line.as_bytes()).await?;
                next += 1;
            }
            let news = async {
                changed.await;
                false
            };
            let due = async {
                (&mut beat).await;
                true
            };
            if news.or(due).await {
                self.write(stream, format!("{next}\n").as_bytes()).await?;
                beat = Timer::after(BEAT);
            }
        }
    }

    async fn write(&self, stream: &Async<TcpStream>, mut bytes: &[u8]) -> std::io::Result<()> {
        while !bytes.is_empty() {
            let n = stream.write_with(|mut s| s.write(bytes)).await?;
            bytes = bytes.get(n..).unwrap_or_default();
        }
        Ok(())
    }
}

//! A stand-in engine: the line protocol in full, with the faults that engines are known for.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::{Executor, Task};
use async_io::{Async, Timer};

use crate::counts::Counts;
use crate::lock;
use crate::work::Work;

/// What all engines of a fleet are like.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Requests that one engine holds at a time; more are refused.
    pub sessions: u32,
    /// How much longer work takes just after a start, falling to 1 ...
    pub cold_factor: f64,
    /// ... within this.
    pub cold: Duration,
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            sessions: 64,
            cold_factor: 3.0,
            cold: Duration::from_secs(5),
        }
    }
}

/// What ails an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It reads, and says nothing until this is taken away: a process that stands still.
    Stall,
    /// It and its machine have vanished: it neither reads nor says anything, for good.
    Vanish,
    /// It resets the connection once a request has come whole, without running it.
    ResetOnServe,
    /// It runs a request, and resets the connection instead of answering.
    ResetOnAnswer,
    /// Its further pages are noise.
    SpoilPages,
    /// It answers, and resets the connection when a further page is asked for.
    ResetOnPage,
    /// It is full.
    Refuse,
    /// It answers everything with an error, and has not run it.
    Err,
}

pub(crate) struct Engine {
    pub addr: SocketAddr,
    pub started: Option<Instant>,
    id: String,
    profile: Profile,
    fault: Mutex<Fault>,
    counts: Arc<Mutex<Counts>>,
    held: AtomicU32,
    serial: AtomicU32,
    streams: Mutex<Vec<Arc<Async<TcpStream>>>>,
    tasks: Mutex<Vec<Task<()>>>,
}

/// What one connection has running, and the pages that may still be asked for.
#[derive(Default)]
struct Held {
    running: HashMap<String, Task<()>>,
    pages: HashMap<String, Vec<String>>,
}

struct Command {
    words: Vec<String>,
    body: String,
}

impl Engine {
    pub fn start(
        executor: &Arc<Executor<'static>>,
        id: &str,
        at: Option<SocketAddr>,
        profile: Profile,
        started: Option<Instant>,
        counts: Arc<Mutex<Counts>>,
    ) -> std::io::Result<Arc<Self>> {
        let at = at.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        // One that has just been killed here may hold the address for a moment.
        let until = Instant::now() + Duration::from_secs(2);
        let listener = loop {
            match Async::<TcpListener>::bind(at) {
                Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && Instant::now() < until => {
                    std::thread::sleep(Duration::from_millis(2));
                }
                bound => break bound?,
            }
        };
        let engine = Arc::new(Engine {
            addr: listener.get_ref().local_addr()?,
            started,
            id: id.to_owned(),
            profile,
            fault: Mutex::default(),
            counts,
            held: AtomicU32::new(0),
            serial: AtomicU32::new(0),
            streams: Mutex::default(),
            tasks: Mutex::default(),
        });
        let (me, on) = (Arc::clone(&engine), Arc::clone(executor));
        let accepting = executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.get_ref().set_nodelay(true);
                let stream = Arc::new(stream);
                lock(&me.streams).push(Arc::clone(&stream));
                let (engine, on) = (Arc::clone(&me), Arc::clone(&on));
                let spawner = Arc::clone(&on);
                spawner
                    .spawn(async move {
                        let held = Arc::new(Mutex::new(Held::default()));
                        let _ = engine.serve(&on, &stream, &held).await;
                        engine.give_up_all(&held);
                        lock(&engine.streams).retain(|s| !Arc::ptr_eq(s, &stream));
                        reset(&stream);
                    })
                    .detach();
            }
        });
        lock(&engine.tasks).push(accepting);
        Ok(engine)
    }

    pub fn fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    pub fn kill(&self) {
        lock(&self.tasks).clear();
        for stream in lock(&self.streams).drain(..) {
            reset(&stream);
        }
    }

    fn ails(&self, fault: Fault) -> bool {
        *lock(&self.fault) == fault
    }

    async fn while_ails(&self, faults: &[Fault]) {
        while faults.contains(&*lock(&self.fault)) {
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// How much longer than usual work takes now.
    fn slowness(&self) -> f64 {
        let age = self.started.map_or(self.profile.cold, |s| s.elapsed());
        let warm = (age.as_secs_f64() / self.profile.cold.as_secs_f64().max(1e-3)).min(1.0);
        self.profile.cold_factor + (1.0 - self.profile.cold_factor) * warm
    }

    fn give_up_all(&self, held: &Mutex<Held>) {
        for (_, task) in lock(held).running.drain() {
            drop(task);
            self.over();
        }
    }

    fn over(&self) {
        self.held.fetch_sub(1, Ordering::Relaxed);
        lock(&self.counts).running -= 1;
    }

    async fn serve(
        self: &Arc<Self>,
        on: &Arc<Executor<'static>>,
        stream: &Arc<Async<TcpStream>>,
        held: &Arc<Mutex<Held>>,
    ) -> std::io::Result<()> {
        let mut input = Vec::new();
        loop {
            while let Some(command) = take(&mut input)? {
                self.while_ails(&[Fault::Stall, Fault::Vanish]).await;
                if !self.obey(on, stream, held, &command).await? {
                    return Ok(());
                }
            }
            self.while_ails(&[Fault::Vanish]).await;
            let mut chunk = [0u8; 16 * 1024];
            let n = stream.read_with(|mut s| s.read(&mut chunk)).await?;
            if n == 0 {
                return Ok(());
            }
            input.extend_from_slice(chunk.get(..n).unwrap_or_default());
        }
    }

    /// Carries one command out. False: the connection ends.
    async fn obey(
        self: &Arc<Self>,
        on: &Arc<Executor<'static>>,
        stream: &Arc<Async<TcpStream>>,
        held: &Arc<Mutex<Held>>,
        command: &Command,
    ) -> std::io::Result<bool> {
        let words: Vec<&str> = command.words.iter().map(String::as_str).collect();
        match words.as_slice() {
            ["serve", rid, fields, _] => {
                let field = |name: &str| fields.split(',').find_map(|f| f.strip_prefix(name));
                let (key, reserve) = (field("op="), field("reserve="));
                lock(&self.counts).attempt(&self.id, rid, key);
                let reserve = reserve.and_then(|mb| mb.parse().ok()).unwrap_or(0);
                lock(&self.counts)
                    .reserved
                    .insert((*rid).to_owned(), reserve);
                if self.ails(Fault::ResetOnServe) {
                    return Ok(false);
                }
                let full = self.held.load(Ordering::Relaxed) >= self.profile.sessions;
                if full || self.ails(Fault::Refuse) {
                    say(stream, &format!("{rid} refused - 0\r\n\r\n")).await?;
                } else if self.ails(Fault::Err) {
                    say(stream, &format!("{rid} error - 0\r\n\r\n")).await?;
                } else {
                    self.held.fetch_add(1, Ordering::Relaxed);
                    lock(&self.counts).began();
                    let (me, to, mine) = (Arc::clone(self), Arc::clone(stream), Arc::clone(held));
                    let (rid, key) = ((*rid).to_owned(), key.map(str::to_owned));
                    let (name, statement) = (rid.clone(), command.body.clone());
                    // Held until the task is in its place, so that it can't end before it is there.
                    let mut guard = lock(held);
                    let run = on.spawn(async move {
                        me.run(&to, &mine, &rid, key.as_deref(), &statement).await;
                    });
                    guard.running.insert(name, run);
                }
            }
            ["read", rid, n] => {
                if self.ails(Fault::ResetOnPage) {
                    return Ok(false);
                }
                let at: usize = n.parse().unwrap_or(usize::MAX);
                *lock(&self.counts)
                    .pages
                    .entry(((*rid).to_owned(), at))
                    .or_default() += 1;
                let page = lock(held).pages.get(*rid).and_then(|p| p.get(at).cloned());
                let answer = match page {
                    Some(_) if self.ails(Fault::SpoilPages) => {
                        format!("{rid} batch at={at} 9\r\n\u{1}\u{2}x\r\n")
                    }
                    Some(page) => format!("{rid} batch at={at} {}\r\n{page}\r\n", page.len()),
                    None => format!("{rid} error - 0\r\n\r\n"),
                };
                say(stream, &answer).await?;
            }
            ["cancel", rid] => {
                if lock(held).running.remove(*rid).is_some() {
                    self.over();
                    lock(&self.counts).cancels += 1;
                }
            }
            ["release", rid] => {
                lock(held).pages.remove(*rid);
            }
            ["weigh", _, _] => {}
            ["health", tag] => say(stream, &format!("{tag} yes - 0\r\n\r\n")).await?,
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Works for so long, with a note each so many milliseconds, and one of a kind that nobody knows yet at the start.
    async fn work(&self, stream: &Async<TcpStream>, rid: &str, took: Duration, notes: u64) {
        let (mut left, each) = (took, Duration::from_millis(notes));
        if notes > 0 {
            let _ = say(stream, &format!("{rid} progress n=mood,amount=1 0\r\n\r\n")).await;
        }
        while notes > 0 && left > each {
            Timer::after(each).await;
            left -= each;
            let share = 1.0 - left.as_secs_f64() / took.as_secs_f64();
            let _ = say(
                stream,
                &format!("{rid} progress n=advance,amount={share:.3} 0\r\n\r\n"),
            )
            .await;
        }
        if !left.is_zero() {
            Timer::after(left).await;
        }
    }

    async fn run(
        &self,
        stream: &Async<TcpStream>,
        held: &Mutex<Held>,
        rid: &str,
        key: Option<&str>,
        statement: &str,
    ) {
        let work = Work::of(statement);
        let took = Duration::from_millis(work.ms).mul_f64(self.slowness());
        self.work(stream, rid, took, work.notes).await;
        self.while_ails(&[Fault::Stall, Fault::Vanish]).await;
        if lock(held).running.remove(rid).map(Task::detach).is_none() {
            return;
        }
        self.over();
        if work.fails {
            let _ = say(stream, &format!("{rid} error - 0\r\n\r\n")).await;
            return;
        }
        lock(&self.counts).ran(key);
        if self.ails(Fault::ResetOnAnswer) {
            return reset(stream);
        }
        let mark = format!(
            "{}/{}",
            self.id,
            self.serial.fetch_add(1, Ordering::Relaxed)
        );
        let pages = work.pages(rid, &mark);
        let (chunks, first) = (pages.len(), pages.first().cloned().unwrap_or_default());
        if chunks > 1 {
            lock(held).pages.insert(rid.to_owned(), pages);
        }
        let cost = if work.untold {
            String::new()
        } else {
            format!(",spent={},wanted=16", work.ms)
        };
        let fields = format!("chunks={chunks}{cost}");
        let _ = say(
            stream,
            &format!("{rid} ok {fields} {}\r\n{first}\r\n", first.len()),
        )
        .await;
    }
}

/// Takes the next whole command off the input.
fn take(input: &mut Vec<u8>) -> std::io::Result<Option<Command>> {
    let bad = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    let Some(end) = input.iter().position(|b| *b == b'\n') else {
        return Ok(None);
    };
    let line = input
        .get(..end)
        .and_then(|l| l.strip_suffix(b"\r"))
        .ok_or_else(bad)?;
    let line = std::str::from_utf8(line).map_err(|_| bad())?.to_owned();
    let words: Vec<String> = line.split(' ').map(str::to_owned).collect();
    let (mut from, mut to) = (end + 1, end + 1);
    if words.first().is_some_and(|w| w == "serve") {
        let length: usize = words.get(3).and_then(|n| n.parse().ok()).ok_or_else(bad)?;
        to = from + length + 2;
    }
    if input.len() < to {
        return Ok(None);
    }
    let body = input
        .get(from..to.saturating_sub(2).max(from))
        .unwrap_or_default();
    let body = String::from_utf8_lossy(body).into_owned();
    from = to;
    input.drain(..from);
    Ok(Some(Command { words, body }))
}

/// Writes one answer whole. Answers of several tasks don't mix: each is small, and a socket that takes a part
/// only is written on before anything else, as all tasks run on one thread and loopback takes them at once.
async fn say(stream: &Async<TcpStream>, text: &str) -> std::io::Result<()> {
    let mut bytes = text.as_bytes();
    while !bytes.is_empty() {
        let n = match stream.get_ref().write(bytes) {
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                stream.write_with(|mut s| s.write(bytes)).await?
            }
            done => done?,
        };
        bytes = bytes.get(n..).unwrap_or_default();
    }
    Ok(())
}

fn reset(stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(Shutdown::Both);
}

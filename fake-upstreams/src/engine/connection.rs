//! One connection to a fake engine: the commands that it receives, the requests that it runs, and
//! their pages.

use std::collections::HashMap;
use std::io::Read;
use std::net::TcpStream;
use std::ops::ControlFlow;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::{Executor, Task};
use async_io::{Async, Timer};

use super::command::{take_command, Command};
use super::{reset, write_all, Engine, Fault};
use crate::lock;
use crate::statement_hints::StatementHints;

/// Size of the read buffer.
const READ_BYTES: usize = 16 * 1024;

pub(super) struct Connection {
    engine: Arc<Engine>,
    executor: Arc<Executor<'static>>,
    stream: Arc<Async<TcpStream>>,
    requests: Arc<Mutex<Requests>>,
}

/// The requests of one connection, by id.
#[derive(Default)]
struct Requests {
    running: HashMap<String, Task<()>>,
    /// Pages of results that have not been released.
    pages: HashMap<String, Vec<String>>,
}

impl Connection {
    pub fn new(
        engine: Arc<Engine>,
        executor: Arc<Executor<'static>>,
        stream: Arc<Async<TcpStream>>,
    ) -> Self {
        Connection {
            engine,
            executor,
            stream,
            requests: Arc::default(),
        }
    }

    pub async fn serve(self) {
        let _ = self.execute_commands().await;
        let running: Vec<Task<()>> = {
            let mut requests = lock(&self.requests);
            requests.running.drain().map(|(_, task)| task).collect()
        };
        for task in running {
            drop(task);
            self.engine.end_request();
        }
        lock(&self.engine.streams).retain(|other| !Arc::ptr_eq(other, &self.stream));
        reset(&self.stream);
    }

    async fn execute_commands(&self) -> std::io::Result<()> {
        let mut input = Vec::new();
        loop {
            while let Some(command) = take_command(&mut input)? {
                self.engine
                    .wait_while_faulty(&[Fault::Stall, Fault::Unreachable])
                    .await;
                if self.execute_command(command).await?.is_break() {
                    return Ok(());
                }
            }
            self.engine.wait_while_faulty(&[Fault::Unreachable]).await;
            let mut chunk = [0u8; READ_BYTES];
            let size = self.stream.read_with(|mut s| s.read(&mut chunk)).await?;
            if size == 0 {
                return Ok(());
            }
            input.extend_from_slice(chunk.get(..size).unwrap_or_default());
        }
    }

    /// Executes a command. `Break` closes the connection.
    async fn execute_command(&self, command: Command) -> std::io::Result<ControlFlow<()>> {
        match command {
            Command::Serve {
                request_id,
                key,
                reserved_mb,
                statement,
            } => {
                self.engine
                    .record_attempt(&request_id, key.as_deref(), reserved_mb);
                return self.start_request(request_id, key, statement).await;
            }
            Command::Read { request_id, page } => return self.send_page(&request_id, page).await,
            Command::Cancel { request_id } => self.cancel(&request_id),
            Command::Release { request_id } => {
                lock(&self.requests).pages.remove(&request_id);
            }
            Command::SetPriority => {}
            Command::Health { tag } => {
                write_all(&self.stream, &format!("{tag} yes - 0\r\n\r\n")).await?;
            }
            Command::Unknown => return Ok(ControlFlow::Break(())),
        }
        Ok(ControlFlow::Continue(()))
    }

    async fn start_request(
        &self,
        request_id: String,
        key: Option<String>,
        statement: String,
    ) -> std::io::Result<ControlFlow<()>> {
        if self.engine.has_fault(Fault::ResetOnServe) {
            return Ok(ControlFlow::Break(()));
        }
        if self.engine.is_full() || self.engine.has_fault(Fault::Refuse) {
            write_all(&self.stream, &format!("{request_id} refused - 0\r\n\r\n")).await?;
        } else if self.engine.has_fault(Fault::Error) {
            write_all(&self.stream, &error_answer(&request_id)).await?;
        } else {
            self.engine.begin_request();
            let request = Request {
                engine: Arc::clone(&self.engine),
                stream: Arc::clone(&self.stream),
                requests: Arc::clone(&self.requests),
                id: request_id.clone(),
                key,
                hints: StatementHints::parse(&statement),
            };
            // The lock is held until the task is in the table: the task removes itself when it
            // completes, and must find its entry.
            let mut requests = lock(&self.requests);
            let task = self.executor.spawn(request.execute());
            requests.running.insert(request_id, task);
        }
        Ok(ControlFlow::Continue(()))
    }

    async fn send_page(&self, request_id: &str, number: usize) -> std::io::Result<ControlFlow<()>> {
        if self.engine.has_fault(Fault::ResetOnPage) {
            return Ok(ControlFlow::Break(()));
        }
        lock(&self.engine.counts).record_page(request_id, number);
        let (page, is_last) = {
            let requests = lock(&self.requests);
            let pages = requests.pages.get(request_id);
            let page = pages.and_then(|pages| pages.get(number).cloned());
            (page, pages.is_some_and(|pages| number + 1 == pages.len()))
        };
        if is_last && self.engine.has_fault(Fault::WithholdLastPage) {
            return Ok(ControlFlow::Continue(()));
        }
        let answer = match page {
            Some(_) if self.engine.has_fault(Fault::CorruptPages) => {
                format!("{request_id} batch at={number} 9\r\n\u{1}\u{2}x\r\n")
            }
            Some(page) => {
                let length = page.len();
                format!("{request_id} batch at={number} {length}\r\n{page}\r\n")
            }
            None => error_answer(request_id),
        };
        write_all(&self.stream, &answer).await?;
        Ok(ControlFlow::Continue(()))
    }

    fn cancel(&self, request_id: &str) {
        let task = lock(&self.requests).running.remove(request_id);
        if task.is_some() {
            self.engine.end_request();
            lock(&self.engine.counts).cancels += 1;
        }
    }
}

fn error_answer(request_id: &str) -> String {
    format!("{request_id} error - 0\r\n\r\n")
}

/// A request that the engine executes.
struct Request {
    engine: Arc<Engine>,
    stream: Arc<Async<TcpStream>>,
    requests: Arc<Mutex<Requests>>,
    id: String,
    key: Option<String>,
    hints: StatementHints,
}

impl Request {
    async fn execute(self) {
        self.simulate_work().await;
        self.engine
            .wait_while_faulty(&[Fault::Stall, Fault::Unreachable])
            .await;
        let own_task = lock(&self.requests).running.remove(&self.id);
        let Some(own_task) = own_task else {
            return;
        };
        own_task.detach();
        self.engine.end_request();
        if self.hints.fails {
            let _ = write_all(&self.stream, &error_answer(&self.id)).await;
            return;
        }
        lock(&self.engine.counts).record_effect(self.key.as_deref());
        if self.engine.has_fault(Fault::ResetOnAnswer) {
            return reset(&self.stream);
        }
        let answer = self.answer();
        let _ = write_all(&self.stream, &answer).await;
    }

    /// Waits for the duration that the statement requests, and reports progress if the statement
    /// requests it. The first report has a kind that the gateway does not know, as a later version
    /// of the protocol may add one.
    async fn simulate_work(&self) {
        let duration = Duration::from_millis(self.hints.work_ms).mul_f64(self.engine.slowdown());
        let interval = Duration::from_millis(self.hints.progress_interval_ms);
        let mut remaining = duration;
        if !interval.is_zero() {
            self.report_progress("mood", "1").await;
        }
        while !interval.is_zero() && remaining > interval {
            Timer::after(interval).await;
            remaining -= interval;
            let fraction = 1.0 - remaining.as_secs_f64() / duration.as_secs_f64();
            self.report_progress("advance", &format!("{fraction:.3}"))
                .await;
        }
        if !remaining.is_zero() {
            Timer::after(remaining).await;
        }
    }

    async fn report_progress(&self, kind: &str, amount: &str) {
        let report = format!("{} progress n={kind},amount={amount} 0\r\n\r\n", self.id);
        let _ = write_all(&self.stream, &report).await;
    }

    /// Builds the answer with the first page. Further pages are kept until they are released.
    fn answer(&self) -> String {
        let pages = self.hints.pages(&self.id, &self.engine.next_execution_id());
        let page_count = pages.len();
        let first = pages.first().cloned().unwrap_or_default();
        if page_count > 1 {
            lock(&self.requests).pages.insert(self.id.clone(), pages);
        }
        let cost = if self.hints.omits_cost {
            String::new()
        } else {
            format!(",spent={},wanted=16", self.hints.work_ms)
        };
        let (id, length) = (&self.id, first.len());
        format!("{id} ok chunks={page_count}{cost} {length}\r\n{first}\r\n")
    }
}

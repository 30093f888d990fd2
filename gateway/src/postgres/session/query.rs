//! Serves a simple query, from its text to its ReadyForQuery.

use std::cell::Cell;
use std::rc::Rc;

use futures_lite::FutureExt;

use super::super::codec::{self, Malformed};
use super::super::query_fields::{self, QueryError};
use super::super::session_end::SessionEnd;
use super::Session;
use crate::connection_limit::ConnectionState;
use crate::exchange::{Answer, Exchange, Request};
use crate::net;
use crate::request_memory::RequestMemory;
use crate::stats::RequestEnding;

/// What a Query message holds.
pub(super) enum Query {
    /// Nothing that could be carried out.
    Empty,
    /// A query that can't be used.
    Invalid(QueryError),
    /// A request.
    Request(Request),
}

/// An event that interrupts or ends the wait for an answer.
enum WaitEvent {
    Answer(Answer),
    Cancelled,
    Readable,
    ClientGone,
}

/// Counts a query as busy from the creation of the guard to its drop, also if writing the answer
/// fails.
struct BusyGuard<'a>(&'a Cell<usize>);

impl<'a> BusyGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        BusyGuard(count)
    }
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Session<'_> {
    /// Removes a Query message of `size` bytes from the input, and parses it.
    pub(super) fn take_query(&mut self, size: usize) -> Result<Query, Malformed> {
        let message = self.slot.input.take_front(size);
        let sql = codec::query_text(codec::message_body(&message))?;
        if query_fields::is_empty(sql) {
            return Ok(Query::Empty);
        }
        Ok(
            match query_fields::parse(sql, &self.sessions.names, self.read_at) {
                Ok(request) => Query::Request(request),
                Err(error) => Query::Invalid(error),
            },
        )
    }

    /// Carries out one simple query, up to its ReadyForQuery.
    pub(super) async fn query(&mut self, query: Query) -> Result<(), SessionEnd> {
        let sessions = Rc::clone(self.sessions);
        let _busy = BusyGuard::new(&sessions.busy);
        self.slot.set_state(ConnectionState::Busy, self.read_at);
        self.requests += 1;
        let mut counted = None;
        match query {
            Query::Empty => self.answer_empty_query(),
            Query::Invalid(error) => self.write_error("22023", &error.to_string()),
            Query::Request(request) => {
                self.slot.record_request();
                let in_progress = sessions.stats.start_request(request.query.class);
                let ending = self.serve_request(request).await?;
                counted = Some((in_progress, ending));
            }
        }
        codec::write_ready(&mut self.output);
        self.write().await?;
        // The request is counted as ended only after its answer is written.
        if let Some((in_progress, ending)) = counted {
            in_progress.finish(ending);
        }
        // A cancel request that has arrived by now was meant for this query, so it is dropped. A
        // later one may be meant for the next query.
        self.take_cancelled();
        if self.slot.input.is_empty() {
            let now = self.sessions.sink.now();
            self.slot.set_state(ConnectionState::Idle, now);
        }
        Ok(())
    }

    fn answer_empty_query(&mut self) {
        if self.sessions.drain.reports_unavailable() {
            self.write_unavailable();
        } else {
            codec::write_empty_query(&mut self.output);
        }
    }

    /// Serves one request, writes its answer to the output, and returns how the request ended.
    async fn serve_request(&mut self, mut request: Request) -> Result<RequestEnding, SessionEnd> {
        let sessions = Rc::clone(self.sessions);
        if sessions.drain.rejects_requests(self.read_at) {
            self.write_unavailable();
            return Ok(RequestEnding::Rejected);
        }
        match RequestMemory::charge(&sessions.memory, request.statement.len()) {
            Ok(memory) => request.memory = memory,
            Err(_) => {
                self.write_out_of_memory();
                return Ok(RequestEnding::Rejected);
            }
        }
        // The client may have disconnected or cancelled the request before it was read. The request
        // is then not submitted.
        self.read_ahead()?;
        if !self.is_client_waiting().await {
            return Err(SessionEnd::ClosedDuringQuery);
        }
        if self.take_cancelled() {
            return Ok(self.write_cancelled());
        }
        let exchange = Exchange::new(request);
        if sessions.sink.submit(&exchange).is_err() {
            self.write_error("22023", &QueryError::IdInUse.to_string());
            return Ok(RequestEnding::Failed);
        }
        match self.wait_for_answer(&exchange).await? {
            Some(answer) => self.write_answer(answer).await,
            None => Ok(self.write_cancelled()),
        }
    }

    /// Waits for the answer, and reads ahead meanwhile. Returns `None` if the client cancelled the
    /// query.
    async fn wait_for_answer(&mut self, exchange: &Exchange) -> Result<Option<Answer>, SessionEnd> {
        loop {
            let answer = async { WaitEvent::Answer(exchange.answer().await) };
            let event = answer
                .or(self.wait_for_cancel())
                .or(self.wait_for_input())
                .await;
            match event {
                WaitEvent::Answer(answer) => return Ok(Some(answer)),
                WaitEvent::Cancelled => {
                    self.sessions.sink.withdraw(exchange.id());
                    return Ok(None);
                }
                WaitEvent::Readable => {
                    if let Err(end) = self.read_ahead() {
                        self.sessions.sink.withdraw(exchange.id());
                        return Err(end);
                    }
                }
                WaitEvent::ClientGone => {
                    self.sessions.sink.withdraw(exchange.id());
                    return Err(SessionEnd::ClosedDuringQuery);
                }
            }
        }
    }

    async fn wait_for_cancel(&self) -> WaitEvent {
        match &self.cancel_target {
            Some(target) => target.cancelled().await,
            None => std::future::pending().await,
        }
        WaitEvent::Cancelled
    }

    /// Waits for input of the client, because the end of the stream is noticed only after everything
    /// before it is read. At that end, or if no more may be read ahead, waits until the client has
    /// gone.
    async fn wait_for_input(&self) -> WaitEvent {
        if self.may_read_ahead() {
            // An error of the connection shows when it is read.
            let _ = self.stream.readable().await;
            return WaitEvent::Readable;
        }
        net::wait_until_gone(&self.stream, Some(codec::PARAMETER_STATUS)).await;
        WaitEvent::ClientGone
    }
}

//! Serves one REST connection from accept to close.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::net::{SocketAddr, TcpStream};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};

use async_io::{Async, Timer};
use hyper::StatusCode;
use smol_hyper::rt::FuturesIo;
use violetgate_policy::interface::Micros;

use super::client_monitor::ClientMonitor;
use super::connection_end::ConnectionEnd;
use super::watch::{ConnectionWatch, Phase, PhaseTimeouts, WatchedStream};
use super::{out_of_memory, write_raw, RestFrontend};
use crate::clock::Clock;
use crate::connection_limit::{ConnectionSlot, MEMORY_LIMIT};
use crate::http_error::HttpError;
use crate::log;
use crate::net;

/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

impl RestFrontend {
    pub(super) async fn run_connection(
        self: Rc<Self>,
        stream: Async<TcpStream>,
        peer: SocketAddr,
        slot: Rc<ConnectionSlot>,
    ) {
        let _ = stream.get_ref().set_nodelay(true);
        let stream = Rc::new(stream);
        let watch = ConnectionWatch::new(self.parts.clock, Rc::clone(&slot), Rc::clone(&stream));
        let end = self.serve(&stream, &watch, &slot).await;
        if watch.has_unread_input.get() {
            net::linger(&stream).await;
        }
        drop(stream);
        self.limiter.release(&slot);
        log::connection_ended("rest", peer, end, watch.answered.get());
    }

    fn phase_timeouts(&self) -> PhaseTimeouts {
        let limits = self.limits.borrow();
        PhaseTimeouts {
            idle: limits.idle_timeout.0,
            head: limits.head_timeout.0,
            write: limits.write_timeout.0,
        }
    }

    /// Serves a connection until it ends, and returns the reason.
    async fn serve(
        self: &Rc<Self>,
        stream: &Rc<Async<TcpStream>>,
        watch: &Rc<ConnectionWatch>,
        slot: &ConnectionSlot,
    ) -> ConnectionEnd {
        let timeouts = self.phase_timeouts();
        let max_head_bytes = self.limits.borrow().max_head.0 as usize;
        if watch.charge_server_buffer(max_head_bytes).is_err() {
            write_raw(stream, &out_of_memory());
            return ConnectionEnd::Requested(MEMORY_LIMIT);
        }
        let (front_end, request_watch) = (Rc::clone(self), Rc::clone(watch));
        let service = hyper::service::service_fn(move |request| {
            let (front_end, watch) = (Rc::clone(&front_end), Rc::clone(&request_watch));
            async move { Ok::<_, Infallible>(front_end.answer(request, &watch).await) }
        });
        let io = FuturesIo::new(WatchedStream::new(Rc::clone(stream), Rc::clone(watch)));
        let mut server = pin!(hyper::server::conn::http1::Builder::new()
            .header_read_timeout(None)
            // A client that has closed only its sending side still gets its answers.
            .half_close(true)
            .max_buf_size(max_head_bytes)
            .max_headers(MAX_HEADERS)
            .serve_connection(io, service));
        let mut close_requested = pin!(slot.close_requested());
        let mut closing = None;
        let mut monitor = ClientMonitor::new(Rc::clone(stream));
        let mut timer = DeadlineTimer::new(self.parts.clock);
        let ended = poll_fn(|context| {
            if let Poll::Ready(result) = server.as_mut().poll(context) {
                return Poll::Ready(Ok(result));
            }
            if slot.is_reclaimed() {
                return Poll::Ready(Err(ConnectionEnd::Requested(MEMORY_LIMIT)));
            }
            if closing.is_none() {
                if let Poll::Ready(reason) = close_requested.as_mut().poll(context) {
                    closing = Some(reason);
                    // Requests that have already arrived are still answered.
                    server.as_mut().graceful_shutdown();
                    if let Poll::Ready(result) = server.as_mut().poll(context) {
                        return Poll::Ready(Ok(result));
                    }
                }
            }
            if monitor.poll(watch, context).is_ready() {
                return Poll::Ready(Err(ConnectionEnd::ClosedDuringRequest));
            }
            timer.poll(watch, &timeouts, context).map(Err)
        })
        .await;
        match (ended, closing) {
            (Err(end), _) => {
                tell_client(stream, watch, end);
                end
            }
            (Ok(_), Some(reason)) => ConnectionEnd::Requested(reason),
            (Ok(result), None) => end_from_result(result, watch),
        }
    }
}

/// Answers a request of which the rest has not arrived, if the connection ends because of it.
fn tell_client(stream: &Async<TcpStream>, watch: &ConnectionWatch, end: ConnectionEnd) {
    match end {
        ConnectionEnd::HeadTimeout => write_raw(stream, &head_timeout()),
        ConnectionEnd::Requested(MEMORY_LIMIT) if watch.awaits_rest_of_request() => {
            watch.has_unread_input.set(true);
            write_raw(stream, &out_of_memory());
        }
        _ => {}
    }
}

fn head_timeout() -> HttpError {
    HttpError::new(
        StatusCode::REQUEST_TIMEOUT,
        "request-timeout",
        "the head of the request was not whole in time",
    )
}

/// Returns why a connection ended, if this process did not ask the connection's HTTP server to
/// close it.
fn end_from_result(result: hyper::Result<()>, watch: &ConnectionWatch) -> ConnectionEnd {
    if matches!(watch.phase(), Phase::Body | Phase::Request) {
        return ConnectionEnd::ClosedDuringRequest;
    }
    match result {
        Ok(()) => ConnectionEnd::Closed,
        // The server has already answered with the status for the parse error.
        Err(error) if error.is_parse() => {
            watch.has_unread_input.set(true);
            ConnectionEnd::ProtocolViolation
        }
        Err(error) if error.is_incomplete_message() => ConnectionEnd::Closed,
        Err(_) => ConnectionEnd::Reset,
    }
}

/// The timer for the timeouts of a connection's phases.
///
/// Most deadlines are replaced before they pass, so the timer is not moved to a later deadline. If
/// it fires before the current deadline, it is set to that one.
struct DeadlineTimer {
    clock: Clock,
    timer: Timer,
    /// The time at which the timer fires; `None` if it is not set.
    armed_at: Option<Micros>,
}

impl DeadlineTimer {
    fn new(clock: Clock) -> Self {
        DeadlineTimer {
            clock,
            timer: Timer::never(),
            armed_at: None,
        }
    }

    /// Completes with the reason when the current phase has timed out.
    fn poll(
        &mut self,
        watch: &ConnectionWatch,
        timeouts: &PhaseTimeouts,
        context: &mut Context<'_>,
    ) -> Poll<ConnectionEnd> {
        while let Some(deadline) = watch.deadline(timeouts) {
            if self.armed_at.is_none_or(|armed_at| deadline.at < armed_at) {
                self.timer.set_at(self.clock.instant(deadline.at));
                self.armed_at = Some(deadline.at);
            }
            if Pin::new(&mut self.timer).poll(context).is_pending() {
                return Poll::Pending;
            }
            self.armed_at = None;
            if self.clock.now() >= deadline.at {
                return Poll::Ready(deadline.end);
            }
        }
        Poll::Pending
    }
}

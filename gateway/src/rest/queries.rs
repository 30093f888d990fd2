//! `POST /v1/queries`: runs a query and returns the first page of its result.

use std::future;
use std::rc::Rc;

use hyper::{HeaderMap, StatusCode};
use rand_chacha::rand_core::RngCore;
use violetgate_policy::interface::{Micros, QueryId};
use violetgate_result_store::ResultSlot;

use super::watch::ConnectionWatch;
use super::{out_of_memory, wire, Reply, RestFrontend};
use crate::exchange::{Answer, Exchange, Request, RequestIdInUse, RequestSink};
use crate::http_error::HttpError;
use crate::request_memory::RequestMemory;
use crate::stats::{increment, RequestEnding};

/// How many random request ids are tried before a query fails. An id that is already in use is
/// replaced by another one.
const MAX_ID_DRAWS: u32 = 4;

/// The status for a query that was rejected before it ran. The client may safely retry the query.
const REJECTED: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

impl RestFrontend {
    /// Removes the body of a query from the input of its connection, and parses it.
    pub(super) fn take_query(
        &self,
        headers: &HeaderMap,
        watch: &ConnectionWatch,
    ) -> Result<Request, HttpError> {
        let received = self.parts.clock.now();
        let body = watch.body().take_front(usize::MAX);
        let id = self.draw_id();
        let mut request = wire::parse_query(headers, &body, &self.parts.names, &id, received)?;
        watch.record_request();
        let memory = RequestMemory::charge(&self.parts.memory, request.statement.len());
        request.memory = memory.map_err(|_| out_of_memory())?;
        Ok(request)
    }

    fn draw_id(&self) -> String {
        format!("{:016x}", self.rng.borrow_mut().next_u64())
    }

    pub(super) async fn query(
        &self,
        mut request: Request,
        watch: &ConnectionWatch,
    ) -> Result<Reply, HttpError> {
        for _ in 0..MAX_ID_DRAWS {
            if let Ok(answered) = self.run_query(request.clone(), watch).await {
                return answered;
            }
            request.set_id(self.rng.borrow_mut().next_u64());
        }
        Err(HttpError::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "no-id",
            "no id could be drawn",
        ))
    }

    /// Runs a query and counts its outcome. Returns `Err` if its request id is in use.
    async fn run_query(
        &self,
        request: Request,
        watch: &ConnectionWatch,
    ) -> Result<Result<Reply, HttpError>, RequestIdInUse> {
        let in_progress = self.parts.stats.start_request(request.query.class);
        let reply = match self.reserve_result(request.received) {
            Ok(slot) => self.submit_and_wait(request, slot, watch).await?,
            Err(error) => Err(error),
        };
        in_progress.finish(match &reply {
            Ok(_) => RequestEnding::Served,
            Err(error) if error.status == REJECTED => RequestEnding::Rejected,
            Err(_) => RequestEnding::Failed,
        });
        Ok(reply)
    }

    /// Reserves capacity for a result. Fails if this instance is draining or has no capacity left.
    fn reserve_result(&self, now: Micros) -> Result<ResultSlot, HttpError> {
        if self.parts.drain.rejects_requests(now) {
            return Err(draining());
        }
        let slot = self.parts.results.borrow_mut().reserve(now);
        slot.map_err(|full| {
            increment(&self.counters.results_full);
            let detail = "the results that are kept for other clients take all room";
            HttpError::new(REJECTED, "results-full", detail).with_retry_after(full.retry_after)
        })
    }

    async fn submit_and_wait(
        &self,
        request: Request,
        slot: ResultSlot,
        watch: &ConnectionWatch,
    ) -> Result<Result<Reply, HttpError>, RequestIdInUse> {
        let expires_at = request
            .received
            .saturating_add(request.query.client_timeout);
        let _open = watch.open_query();
        if !watch.is_client_waiting().await {
            // The connection's monitor notices it as well, and drops this query.
            future::pending::<()>().await;
        }
        let exchange = Exchange::new(request);
        self.parts.sink.submit(&exchange)?;
        let guard = WithdrawGuard {
            sink: &self.parts.sink,
            query: Some(exchange.id()),
        };
        let answer = exchange.answer().await;
        guard.disarm();
        Ok(match answer {
            Answer::Served(result) => Ok(self.first_page(result, slot, expires_at, watch).await),
            other => Err(error_of(&other)),
        })
    }
}

/// Withdraws a query if it is dropped before the query is answered, for example because the client
/// has disconnected.
struct WithdrawGuard<'a> {
    sink: &'a Rc<dyn RequestSink>,
    query: Option<QueryId>,
}

impl WithdrawGuard<'_> {
    fn disarm(mut self) {
        self.query = None;
    }
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        if let Some(query) = self.query {
            self.sink.withdraw(query);
        }
    }
}

fn draining() -> HttpError {
    let detail = "this server takes no more queries; another one will";
    HttpError::new(REJECTED, "draining", detail).with_retry_after(0)
}

/// Returns the error that reports an answer other than a result.
fn error_of(answer: &Answer) -> HttpError {
    match answer {
        Answer::Rejected { retry_after } => {
            HttpError::new(REJECTED, "busy", "too busy to serve this query")
                .with_retry_after(*retry_after)
        }
        Answer::ShuttingDown => draining(),
        Answer::StateUnconfirmed => {
            let detail = "this instance is cut off from the others; another one may serve it";
            HttpError::new(REJECTED, "isolated", detail).with_retry_after(0)
        }
        Answer::KeyConflict => HttpError::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key-reused",
            "this Idempotency-Key was used with another query",
        ),
        Answer::OutcomeUnknown => HttpError::new(
            StatusCode::CONFLICT,
            "outcome-unknown",
            "an earlier query of this Idempotency-Key may have had its effect, and engines no longer \
             discard a second one",
        ),
        Answer::Failed | Answer::Served(_) => HttpError::new(
            StatusCode::BAD_GATEWAY,
            "failed",
            "the query failed; it may have had its effect",
        ),
    }
}

//! Paged results: the first page answers the query, and clients can fetch further pages until the
//! time that the query allows has passed.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use http_body_util::Full;
use hyper::body::Body;
use hyper::header::{HeaderValue, CACHE_CONTROL, CONTENT_TYPE, LINK};
use hyper::{Response, StatusCode};
use violetgate_memory_budget::Purpose;
use violetgate_policy::interface::Micros;
use violetgate_result_store::{AttemptId, LookupError, NewResult, ResultSlot};

use super::watch::ConnectionWatch;
use super::wire::{Continuation, Page};
use super::{Reply, RestFrontend};
use crate::exchange::QueryResult;
use crate::http_error::HttpError;
use crate::stats::increment;

/// The number of the first page in the REST protocol. Engines count pages from 0.
const FIRST_PAGE: usize = 1;
/// The size of a page as JSON, with the unused capacity of its buffer, is at most this multiple of
/// the size of its rows.
const MAX_JSON_FACTOR: usize = 8;
/// How often an answer that does not fit into the memory budget is tried again.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(20);

impl RestFrontend {
    /// Returns the answer to a query that was served. A result of several pages is stored, and its
    /// pages can be fetched until `expires_at`.
    pub(super) async fn first_page(
        &self,
        result: Rc<QueryResult>,
        slot: ResultSlot,
        expires_at: Micros,
        watch: &ConnectionWatch,
    ) -> Reply {
        if result.pages.len() <= 1 {
            return self.page_reply(&result, FIRST_PAGE, None, watch).await;
        }
        result.pages.release_encoding_memory();
        let stored = NewResult {
            pages: Rc::clone(&result),
            bytes: result.size_bytes(),
            origin: AttemptId {
                request: result.query,
                attempt: result.attempt,
            },
            expires_at,
        };
        let token = self.parts.results.borrow_mut().insert(slot, stored);
        watch.set_sticky_until(expires_at);
        let continuation = Continuation {
            token: &token,
            expires_at,
        };
        self.page_reply(&result, FIRST_PAGE, Some(continuation), watch)
            .await
    }

    /// Returns a page of a stored result. `page` counts from 1.
    pub(super) async fn fetch_page(
        &self,
        token: &str,
        page: usize,
        watch: &ConnectionWatch,
    ) -> Result<Reply, HttpError> {
        let now = self.parts.clock.now();
        let stored = self.parts.results.borrow().get(now, token);
        let stored = stored.map_err(|error| self.page_error(error))?;
        let (result, expires_at) = (stored.pages, stored.token.expires_at);
        if page > result.pages.len() {
            return Err(self.page_error(LookupError::UnknownToken));
        }
        increment(&self.counters.pages);
        let is_last = page == result.pages.len();
        // After the last page, the client no longer depends on this process.
        watch.set_sticky_until(if is_last { 0 } else { expires_at });
        let continuation = Continuation { token, expires_at };
        Ok(self
            .page_reply(&result, page, Some(continuation), watch)
            .await)
    }

    /// Formats a page. Its memory is charged until the page is written; while it does not fit, the
    /// answer waits.
    async fn page_reply(
        &self,
        result: &QueryResult,
        page: usize,
        continuation: Option<Continuation<'_>>,
        watch: &ConnectionWatch,
    ) -> Reply {
        let rows = result.pages.get(page - 1).map_or(0, |rows| rows.len());
        let memory = self.parts.memory.empty_charge(Purpose::Result);
        let bytes = rows * MAX_JSON_FACTOR;
        while memory.resize(bytes).is_err() {
            Timer::after(MEMORY_RETRY_INTERVAL).await;
        }
        let reply = page_reply(result, page, continuation);
        let _ = memory.resize(reply_bytes(&reply));
        watch.set_answer_memory(memory);
        reply
    }

    /// Deletes a stored result.
    pub(super) fn delete(&self, token: &str) -> Result<Reply, HttpError> {
        let now = self.parts.clock.now();
        let deleted = self.parts.results.borrow_mut().delete(now, token);
        deleted.map_err(|error| self.page_error(error))?;
        let mut reply = Response::new(Full::default());
        *reply.status_mut() = StatusCode::NO_CONTENT;
        Ok(reply)
    }

    fn page_error(&self, error: LookupError) -> HttpError {
        match error {
            LookupError::UnknownToken => {
                increment(&self.counters.unknown_tokens);
                HttpError::new(
                    StatusCode::NOT_FOUND,
                    "no-such-page",
                    "nobody here has promised this page",
                )
            }
            LookupError::Gone => {
                increment(&self.counters.expired_pages);
                HttpError::new(
                    StatusCode::GONE,
                    "result-gone",
                    "this result is no longer kept; ask again",
                )
            }
        }
    }
}

fn reply_bytes(reply: &Reply) -> usize {
    let size = reply.body().size_hint().lower();
    usize::try_from(size).unwrap_or(usize::MAX)
}

fn page_reply(result: &QueryResult, page: usize, continuation: Option<Continuation<'_>>) -> Reply {
    let rows = result.pages.get(page - 1).map_or(&b""[..], |rows| rows);
    let page = Page {
        continuation,
        query: result.query,
        page,
        page_count: result.pages.len().max(1),
        rows,
    };
    let mut reply = Response::new(Full::from(page.body()));
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Some(next) = page.next() {
        let link = HeaderValue::try_from(format!("<{next}>; rel=\"next\""));
        headers.extend(link.ok().map(|link| (LINK, link)));
    }
    reply
}

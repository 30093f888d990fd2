//! Routes a request of the REST front end: it runs a query, or fetches a page of a result, or
//! deletes a result.

use std::cell::Cell;
use std::rc::Rc;

use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Request, StatusCode};

use super::watch::{ConnectionWatch, Phase};
use super::wire::{self, Route};
use super::{out_of_memory, Reply, RestFrontend};
use crate::http_error::HttpError;

/// Counts a request as open until the guard is dropped.
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

impl RestFrontend {
    /// Answers a request. An error becomes a reply, so that every request gets an answer.
    pub(super) async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        watch: &Rc<ConnectionWatch>,
    ) -> Reply {
        watch.set_phase(Phase::Body);
        watch.set_version(request.version());
        let _busy = BusyGuard::new(&self.busy);
        let mut reply = self.route(request, watch).await.unwrap_or_else(|error| {
            if error.closes_connection {
                watch.has_unread_input.set(true);
            }
            error.response()
        });
        let now = self.parts.clock.now();
        // While the client may fetch further pages, the connection stays open during a drain: no
        // other process has these pages.
        let is_sticky = watch.sticky_until() > now;
        if self.parts.drain.close_reason(now).is_some() && !is_sticky {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
        }
        watch.answered.set(watch.answered.get() + 1);
        watch.set_phase(Phase::Answer);
        reply
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        watch: &ConnectionWatch,
    ) -> Result<Reply, HttpError> {
        let (head, body) = request.into_parts();
        match wire::route(&head.method, head.uri.path()) {
            Route::Query => {
                self.read_body(body, watch).await?;
                let query = self.take_query(&head.headers, watch);
                watch.set_phase(Phase::Request);
                self.query(query?, watch).await
            }
            Route::Page { token, page } => self.fetch_page(token, page, watch).await,
            Route::Delete { token } => self.delete(token),
            Route::MethodNotAllowed { allow } => Err(HttpError::method_not_allowed(allow)),
            Route::NotFound => Err(HttpError::new(
                StatusCode::NOT_FOUND,
                "no-such-path",
                "no such path",
            )),
        }
    }

    /// Reads a complete body within the size and time limits of the settings, and appends it to the
    /// input of the connection.
    async fn read_body(&self, body: Incoming, watch: &ConnectionWatch) -> Result<(), HttpError> {
        let (max_bytes, timeout) = {
            let limits = self.limits.borrow();
            (limits.max_body.0 as usize, limits.body_timeout.0)
        };
        // A declared length is checked before hyper reads the body or sends `100 Continue`.
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(body_too_large(max_bytes));
        }
        let timed_out = async {
            Timer::after(timeout).await;
            let detail = "the body of the request was not whole in time";
            Err(HttpError::new(StatusCode::REQUEST_TIMEOUT, "request-timeout", detail).closing())
        };
        read_frames(body, max_bytes, watch).or(timed_out).await
    }
}

async fn read_frames(
    mut body: Incoming,
    max_bytes: usize,
    watch: &ConnectionWatch,
) -> Result<(), HttpError> {
    let input = watch.body();
    let declared_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let detail = format!("the body can't be read: {error}");
            HttpError::new(StatusCode::BAD_REQUEST, "invalid-request", detail).closing()
        })?;
        // Trailers have no data frame and are ignored.
        let data = frame.into_data().unwrap_or_default();
        if input.len() + data.len() > max_bytes {
            return Err(body_too_large(max_bytes));
        }
        let appended = input.append(&data, declared_bytes.max(input.len() + data.len()));
        appended.map_err(|_| out_of_memory().closing())?;
    }
    Ok(())
}

fn body_too_large(max_bytes: usize) -> HttpError {
    let detail = format!("a body has {max_bytes} bytes at most");
    HttpError::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail).closing()
}

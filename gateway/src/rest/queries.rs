//! What one request of the REST front asks: a query, a page of a result, or an end to one. It decides nothing about queries.

use super::*;

impl Rest {
    pub(super) async fn carry_out(
        &self,
        request: hyper::Request<Incoming>,
        line: &Line,
    ) -> Result<Reply, HttpError> {
        let (head, body) = request.into_parts();
        match wire::route(&head.method, head.uri.path()) {
            Route::Ask => {
                let body = self.read(body).await?;
                self.ask(&head.headers, &body, line).await
            }
            Route::Page(id, n) => self.page(id, n, line),
            Route::Delete(id) => self.delete(id),
            Route::Not(allow) => Err(HttpError::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "method-not-allowed",
                format!("this path takes {allow}"),
            )),
            Route::Nowhere => Err(HttpError::new(
                StatusCode::NOT_FOUND,
                "no-such-path",
                "no such path",
            )),
        }
    }

    /// Reads a body whole, within its limits.
    async fn read(&self, mut body: Incoming) -> Result<Vec<u8>, HttpError> {
        let (most, within) = {
            let limits = self.limits.borrow();
            (limits.max_body.0 as usize, limits.body_timeout.0)
        };
        let long = || {
            let detail = format!("a body has {most} bytes at most");
            HttpError::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail).closing()
        };
        // A length that is told is believed before a byte is read, and before `100 Continue` is said.
        if body.size_hint().lower() > most as u64 {
            return Err(long());
        }
        let whole = async {
            let mut bytes = Vec::new();
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|e| {
                    let detail = format!("the body can't be read: {e}");
                    HttpError::new(StatusCode::BAD_REQUEST, "invalid-request", detail).closing()
                })?;
                // Trailers say nothing that is heeded here.
                let data = frame.into_data().unwrap_or_default();
                if bytes.len() + data.len() > most {
                    return Err(long());
                }
                bytes.extend_from_slice(&data);
            }
            Ok(bytes)
        };
        let late = async {
            Timer::after(within).await;
            let detail = "the body of the request was not whole in time";
            Err(HttpError::new(StatusCode::REQUEST_TIMEOUT, "request-timeout", detail).closing())
        };
        whole.or(late).await
    }

    async fn ask(
        &self,
        headers: &hyper::HeaderMap,
        body: &[u8],
        line: &Line,
    ) -> Result<Reply, HttpError> {
        let core = &self.core;
        let received = core.clock.now();
        let draining = || {
            let detail = "this server takes no more queries; another one will";
            HttpError::new(StatusCode::SERVICE_UNAVAILABLE, "draining", detail).after(0)
        };
        for _ in 0..DRAWS {
            let rid = format!("{:016x}", self.rng.borrow_mut().next_u64());
            let request = wire::ask(headers, body, &core.names, &rid, received)?;
            let open = core.stats.begin(request.query.class);
            if core.door.turns_back(received) {
                open.ended(Ending::Refused);
                return Err(draining());
            }
            let slot = core.results.borrow_mut().reserve(received);
            let slot = match slot {
                Ok(slot) => slot,
                Err(store) => {
                    add(&self.counts.full);
                    open.ended(Ending::Refused);
                    let detail = "the results that are kept for other clients take all room";
                    let problem =
                        HttpError::new(StatusCode::SERVICE_UNAVAILABLE, "results-full", detail);
                    return Err(problem.after(store.retry_after));
                }
            };
            let until = received.saturating_add(request.query.client_timeout);
            let exchange = Exchange::new(request);
            if !core.intake.submit(&exchange) {
                continue;
            }
            let waits = Waits {
                intake: &core.intake,
                query: Some(exchange.request.query.id),
            };
            let answer = exchange.answer().await;
            waits.over();
            let refused = StatusCode::SERVICE_UNAVAILABLE;
            let problem = match answer {
                Answer::Served(served) => {
                    open.ended(Ending::Served);
                    return Ok(self.first_page(served, slot, until, line));
                }
                Answer::Refused { retry_after } => {
                    HttpError::new(refused, "busy", "too busy to serve this query").after(retry_after)
                }
                Answer::ShuttingDown => draining(),
                Answer::StateUnconfirmed => {
                    let detail = "this instance is cut off from the others; another one may serve it";
                    HttpError::new(refused, "isolated", detail).after(0)
                }
                Answer::Failed => HttpError::new(
                    StatusCode::BAD_GATEWAY,
                    "failed",
                    "the query failed; it may have had its effect",
                ),
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
            };
            open.ended(if problem.status == refused {
                Ending::Refused
            } else {
                Ending::Failed
            });
            return Err(problem);
        }
        Err(HttpError::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "no-id",
            "no id could be drawn",
        ))
    }

    /// The answer to a query that was served. A result of one page is all in it; others stay for their time.
    fn first_page(
        &self,
        served: Rc<Served>,
        slot: ResultSlot,
        until: Micros,
        line: &Line,
    ) -> Reply {
        let many = served.pages.len() > 1;
        let token = many.then(|| {
            let result = NewResult {
                pages: Rc::clone(&served),
                bytes: served.bytes(),
                origin: AttemptId {
                    request: served.query,
                    attempt: served.attempt,
                },
                expires_at: until,
            };
            self.core.results.borrow_mut().insert(slot, result)
        });
        if token.is_some() {
            line.owes(until);
        }
        let id = token.as_deref();
        page_of(&served, id, 1, id.map(|_| until))
    }

    fn page(&self, id: &str, n: usize, line: &Line) -> Result<Reply, HttpError> {
        let found = self.core.results.borrow().get(self.core.clock.now(), id);
        let found = found.map_err(|error| self.missing(error))?;
        let (served, expires_at) = (found.pages, found.token.expires_at);
        if n > served.pages.len() {
            return Err(self.missing(LookupError::UnknownToken));
        }
        add(&self.counts.pages);
        // Its last page read, a client needs this process no more.
        line.owes(if n == served.pages.len() {
            0
        } else {
            expires_at
        });
        Ok(page_of(&served, Some(id), n, Some(expires_at)))
    }

    fn delete(&self, id: &str) -> Result<Reply, HttpError> {
        let gone = self
            .core
            .results
            .borrow_mut()
            .delete(self.core.clock.now(), id);
        gone.map_err(|m| self.missing(m))?;
        let mut reply = Response::new(Full::default());
        *reply.status_mut() = StatusCode::NO_CONTENT;
        Ok(reply)
    }

    fn missing(&self, missing: LookupError) -> HttpError {
        match missing {
            LookupError::UnknownToken => {
                add(&self.counts.unknown);
                HttpError::new(
                    StatusCode::NOT_FOUND,
                    "no-such-page",
                    "nobody here has promised this page",
                )
            }
            LookupError::Gone => {
                add(&self.counts.gone);
                HttpError::new(
                    StatusCode::GONE,
                    "result-gone",
                    "this result is no longer kept; ask again",
                )
            }
        }
    }
}

/// A query that waits for its answer. Dropped before that, as when its client has left, it is withdrawn.
struct Waits<'a> {
    intake: &'a Rc<dyn RequestSink>,
    query: Option<QueryId>,
}

impl Waits<'_> {
    fn over(mut self) {
        self.query = None;
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        if let Some(query) = self.query {
            self.intake.withdraw(query);
        }
    }
}

fn page_of(served: &Served, id: Option<&str>, n: usize, until: Option<Micros>) -> Reply {
    let rows = served.pages.get(n - 1).map_or(&b""[..], |p| p);
    let page = Page {
        id,
        query: served.query,
        page: n,
        pages: served.pages.len().max(1),
        until,
        rows,
    };
    let mut reply = Response::new(Full::from(page.body()));
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Some(next) = page
        .next()
        .and_then(|n| HeaderValue::try_from(format!("<{n}>; rel=\"next\"")).ok())
    {
        headers.insert(LINK, next);
    }
    reply
}

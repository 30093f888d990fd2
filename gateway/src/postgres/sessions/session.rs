//! One session: messages in, answers out, in the order of the protocol. It decides nothing.

use super::*;

pub(super) struct Session<'a> {
    pub(super) sessions: &'a Rc<Sessions>,
    pub(super) guest: &'a Rc<ConnectionSlot>,
    pub(super) stream: Rc<Async<TcpStream>>,
    pub(super) input: Vec<u8>,
    /// When the last bytes were read.
    pub(super) read_at: u64,
    pub(super) output: Vec<u8>,
    pub(super) key: Option<(u32, Rc<Key>)>,
    pub(super) requests: u64,
}

/// What ended the wait for an answer.
enum Waited {
    Answer(Answer),
    Cancelled,
    Read(std::io::Result<usize>),
}

impl Session<'_> {
    pub(super) async fn serve(&mut self) -> Result<std::convert::Infallible, Reason> {
        let guest = Rc::clone(self.guest);
        let late = async {
            Timer::after(STARTUP).await;
            Err("startup_timeout")
        };
        let evicted = async { Err(guest.gives_way().await) };
        // What has been read comes first: a request that is here already is still served.
        self.start().or(evicted).or(late).await?;
        // By when the rest of a message that has begun is due.
        let mut whole_by = None;
        let mut skipping = false; // an extended query failed: its messages are skipped up to Sync
        loop {
            let (kind, body, size) = match codec::message(&self.input) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    let (stage, until, reason) = if self.input.is_empty() {
                        (ConnectionState::Idle, Instant::now() + IDLE, "idle")
                    } else {
                        let by = *whole_by.get_or_insert_with(|| Instant::now() + MESSAGE);
                        (ConnectionState::AwaitingMessage, by, "message_timeout")
                    };
                    guest.is(stage, self.sessions.intake.now());
                    let late = async {
                        Timer::at(until).await;
                        Err(reason)
                    };
                    let evicted = async { Err(guest.gives_way().await) };
                    self.read().or(evicted).or(late).await?;
                    continue;
                }
                Err(e) => return self.break_off(e).await,
            };
            whole_by = None;
            match kind {
                b'Q' => {
                    let sql = match codec::query(body) {
                        Ok(sql) => sql.to_vec(),
                        Err(e) => return self.break_off(e).await,
                    };
                    self.input.drain(..size);
                    if skipping {
                        self.is_cancelled();
                        continue;
                    }
                    self.query(&sql).await?;
                    if let Some(reason) = self.sessions.door.sends_home(self.sessions.intake.now())
                    {
                        // What is here already is served first.
                        self.hear()?;
                        if self.input.is_empty() {
                            return Err(reason);
                        }
                    }
                    future::yield_now().await;
                    continue;
                }
                b'X' => return Err("terminated"),
                b'S' => {
                    skipping = false;
                    codec::ready(&mut self.output);
                }
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' if skipping => {}
                b'P' | b'B' | b'D' | b'E' | b'C' => {
                    skipping = true;
                    self.fail("0A000", "only simple queries are served here");
                }
                b'F' => {
                    self.fail("0A000", "function calls are not served here");
                    codec::ready(&mut self.output);
                }
                b'p' => {
                    return self
                        .break_off(Malformed("unexpected password message"))
                        .await
                }
                // Flush; copy data that nobody asked for is skipped, as PostgreSQL does.
                _ => {}
            }
            self.input.drain(..size);
            self.is_cancelled(); // what came while this was read meant it
            self.write().await?;
            // A client that sends without end always has more to read: the others come in between.
            future::yield_now().await;
        }
    }

    async fn start(&mut self) -> Result<(), Reason> {
        loop {
            match codec::startup(&self.input) {
                Ok(None) => {
                    self.read().await?;
                    continue;
                }
                Ok(Some((Startup::Encryption, size))) => {
                    self.input.drain(..size);
                    self.output.push(b'N');
                    self.write().await?;
                }
                Ok(Some((Startup::Cancel(pid, secret), _))) => {
                    self.sessions.cancel(pid, secret);
                    return Err("cancel_request");
                }
                Ok(Some((Startup::Begin { user: None, .. }, _))) => {
                    let message = "no PostgreSQL user name specified in startup packet";
                    codec::error(&mut self.output, "FATAL", "28000", message, None);
                    self.write().await?;
                    return Err("no_user");
                }
                Ok(Some((Startup::Begin { minor, options, .. }, size))) => {
                    let (pid, key) = self.sessions.new_key(self.guest, &self.stream);
                    codec::welcome(&mut self.output, minor, &options, pid, key.secret);
                    self.key = Some((pid, key));
                    self.input.drain(..size);
                    return self.write().await;
                }
                Err(e) => return self.break_off(e).await.map(|never| match never {}),
            }
        }
    }

    /// Answers what breaks the protocol; nothing that follows on such a connection can be trusted.
    async fn break_off(&mut self, e: Malformed) -> Result<std::convert::Infallible, Reason> {
        codec::error(&mut self.output, "FATAL", "08P01", e.0, None);
        self.write().await?;
        Err("protocol_violation")
    }

    fn fail(&mut self, code: &str, message: &str) {
        codec::error(&mut self.output, "ERROR", code, message, None);
    }

    /// This front end takes no work: another try, elsewhere, is harmless.
    fn closing(&mut self) {
        let drains = self.sessions.door.is_closed();
        let what = if drains {
            "this server is being drained"
        } else {
            "this server is shutting down"
        };
        let hint = Some("Try again on a new connection.");
        codec::error(&mut self.output, "ERROR", "57P03", what, hint);
    }

    /// One simple query, up to its ReadyForQuery.
    async fn query(&mut self, sql: &[u8]) -> Result<(), Reason> {
        let sessions = Rc::clone(self.sessions);
        let _busy = Busy::new(&sessions.busy);
        self.guest.is(ConnectionState::Busy, self.read_at);
        self.requests += 1;
        let mut counted = None;
        if query_fields::is_empty(sql) {
            if sessions.door.is_closed() {
                self.closing();
            } else {
                codec::empty(&mut self.output);
            }
        } else {
            match query_fields::request(sql, &sessions.names, self.read_at) {
                Err(what) => self.fail("22023", &what),
                Ok(request) => {
                    let open = sessions.stats.begin(request.query.class);
                    counted = Some((open, self.serve_request(request).await?));
                }
            }
        }
        codec::ready(&mut self.output);
        self.write().await?;
        // Only now has the client its answer.
        if let Some((open, ending)) = counted {
            open.ended(ending);
        }
        // A cancel that came meanwhile meant this query, one that comes now may mean the next.
        self.is_cancelled();
        if self.input.is_empty() {
            self.guest
                .is(ConnectionState::Idle, self.sessions.intake.now());
        }
        Ok(())
    }

    /// One request, up to its answer, and how that ends it.
    async fn serve_request(&mut self, request: Request) -> Result<Ending, Reason> {
        let sessions = Rc::clone(self.sessions);
        if sessions.door.turns_back(self.read_at) {
            self.closing();
            return Ok(Ending::Refused);
        }
        // Its client may have gone, or cancelled it, before it was read: then nothing of it begins.
        self.hear()?;
        if self.is_cancelled() {
            return Ok(self.answer(None));
        }
        let exchange = Exchange::new(request);
        if !sessions.intake.submit(&exchange) {
            self.fail(
                "22023",
                "field `rid` names a request that is, or was just now, open",
            );
            return Ok(Ending::Failed);
        }
        let answer = self.wait(&exchange).await?;
        Ok(self.answer(answer))
    }

    /// Whether the query at hand was cancelled; it is told once.
    fn is_cancelled(&self) -> bool {
        self.key
            .as_ref()
            .is_some_and(|(_, key)| key.cancelled.replace(false))
    }

    /// Reads ahead what is here, without waiting: a client that has left shows where its end is read, or where the
    /// machine tells of it behind more than is read ahead.
    fn hear(&mut self) -> Result<(), Reason> {
        let mut chunk = [0u8; 4096];
        while self.input.len() < READ_AHEAD {
            match self.stream.get_ref().read(&mut chunk) {
                Ok(0) => return Err("left"),
                Ok(n) => {
                    self.input
                        .extend_from_slice(chunk.get(..n).unwrap_or_default());
                    self.read_at = self.sessions.intake.now();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err("reset"),
            }
        }
        if net::has_hung_up(&self.stream) {
            return Err("left");
        }
        Ok(())
    }

    /// Waits for the answer; `None` if the client cancelled the query.
    async fn wait(&mut self, exchange: &Exchange) -> Result<Option<Answer>, Reason> {
        let id = exchange.request.query.id;
        loop {
            let key = self.key.as_ref().map(|(_, key)| Rc::clone(key));
            let cancelled = poll_fn(|cx| match &key {
                Some(key) if key.cancelled.replace(false) => Poll::Ready(Waited::Cancelled),
                Some(key) => {
                    *key.waker.borrow_mut() = Some(cx.waker().clone());
                    Poll::Pending
                }
                None => Poll::Pending,
            });
            let answer = async { Waited::Answer(exchange.answer().await) };
            // The client's leaving shows only where it is read; what it sends ahead is kept.
            let (room, mut chunk) = (self.input.len() < READ_AHEAD, [0u8; 4096]);
            let read = async {
                // Behind more than is read ahead, its end can't be read: it is asked for.
                if !room {
                    while !net::has_hung_up(&self.stream) {
                        Timer::after(LOOK).await;
                    }
                    return Waited::Read(Ok(0));
                }
                Waited::Read(self.stream.read_with(|mut s| s.read(&mut chunk)).await)
            };
            match answer.or(cancelled).or(read).await {
                Waited::Answer(answer) => return Ok(Some(answer)),
                Waited::Cancelled => {
                    self.sessions.intake.withdraw(id);
                    return Ok(None);
                }
                Waited::Read(Ok(n)) if n > 0 => {
                    self.input
                        .extend_from_slice(chunk.get(..n).unwrap_or_default());
                    self.read_at = self.sessions.intake.now();
                }
                Waited::Read(end) => {
                    self.sessions.intake.withdraw(id);
                    return Err(if end.is_ok() { "left" } else { "reset" });
                }
            }
        }
    }

    fn answer(&mut self, answer: Option<Answer>) -> Ending {
        match answer {
            Some(Answer::Served(served)) => {
                codec::rows(&mut self.output, served.pages.iter().map(AsRef::as_ref));
                Ending::Served
            }
            Some(Answer::Refused { retry_after }) => {
                let ms = retry_after.div_ceil(1000);
                let (mut what, hint) = (
                    "too busy to serve this query".to_owned(),
                    format!("Try again in {ms} ms."),
                );
                if ms > 0 {
                    what.push_str(&format!(" (backoff={ms})"));
                }
                let hint = (ms > 0).then_some(hint.as_str());
                codec::error(&mut self.output, "ERROR", "53000", &what, hint);
                Ending::Refused
            }
            Some(Answer::ShuttingDown) => {
                self.closing();
                Ending::Refused
            }
            Some(Answer::StateUnconfirmed) => {
                let hint = Some("Another instance may serve it.");
                codec::error(
                    &mut self.output,
                    "ERROR",
                    "57P03",
                    "this instance is cut off from the others",
                    hint,
                );
                Ending::Refused
            }
            Some(Answer::Failed) => {
                self.fail("58000", "the query failed; it may have had its effect");
                Ending::Failed
            }
            Some(Answer::KeyConflict) => {
                self.fail("22023", "field `token` was used with another query");
                Ending::Failed
            }
            Some(Answer::OutcomeUnknown) => {
                self.fail(
                    "58000",
                    "an earlier query of this token failed; it may have had its effect",
                );
                Ending::Failed
            }
            // Its client gave it up, and is told so: it ends as any other that is not served.
            None => {
                self.fail("57014", "canceling statement due to user request");
                Ending::Failed
            }
        }
    }

    async fn read(&mut self) -> Result<(), Reason> {
        let mut chunk = [0u8; 4096];
        match self.stream.read_with(|mut s| s.read(&mut chunk)).await {
            Ok(0) => Err("closed"),
            Ok(n) => {
                self.input
                    .extend_from_slice(chunk.get(..n).unwrap_or_default());
                self.read_at = self.sessions.intake.now();
                Ok(())
            }
            Err(_) => Err("reset"),
        }
    }

    async fn write(&mut self) -> Result<(), Reason> {
        let mut sent = 0;
        while let Some(rest) = self.output.get(sent..).filter(|rest| !rest.is_empty()) {
            let late = async {
                Timer::after(STALLED).await;
                Err(std::io::ErrorKind::TimedOut.into())
            };
            match self.stream.write_with(|mut s| s.write(rest)).or(late).await {
                Ok(n) if n > 0 => sent += n,
                Err(e) if e.kind() == std::io::ErrorKind::TimedOut => return Err("stalled"),
                _ => return Err("reset"),
            }
        }
        self.output.clear();
        self.output.shrink_to(8 * 1024);
        Ok(())
    }
}

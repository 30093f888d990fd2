//! The cluster's API: operators read and change over HTTP/1.1 what is agreed on. docs/daemon-operations.md has the calls.
//!
//! Any member takes any call; a change is answered once it is agreed on, or as unknown. It must never answer a read from
//! a copy that is not current, unless it was asked to.

use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use base64::prelude::{Engine as _, BASE64_STANDARD};
use futures_lite::{future, FutureExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, CACHE_CONTROL, CONTENT_TYPE};
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use smol_hyper::rt::FuturesIo;
use violetgate_cluster::{Answered, Call};
use violetgate_consensus::{Change, Rejected, Role};
use violetgate_member::Answer;
use violetgate_state::{Check, Compacted, Op, Outcome, Refused, Revision, Step, Txn};

use super::agreed::{self, Record, Unfit};
use super::{request_id, Daemon, Unagreed};
use crate::log;
use crate::problem::Problem;

/// Connections at a time; more are closed at once.
const MOST: usize = 64;
/// The longest body: a transaction of the most and longest changes, in base64.
const MAX_BODY: usize = 12 << 20;
/// How long a head, and a whole body, may take to come.
const HEAD: Duration = Duration::from_secs(5);
const BODY: Duration = Duration::from_secs(30);
/// How long a connection may last; then it closes after the answer at hand.
const LIFE: Duration = Duration::from_secs(600);
/// The time that a call has unless it says otherwise, and the most that it may say.
const WITHIN: Duration = Duration::from_secs(5);
const LONGEST: Duration = Duration::from_secs(60);
/// Entries and changes of a page unless the call says otherwise, and the most.
const PAGE: usize = 100;
const LONGEST_PAGE: usize = 1_000;

type Reply = Response<Full<Bytes>>;
type Answering = Result<Reply, Problem>;

/// Timers for hyper, on the one reactor.
#[derive(Clone, Copy)]
struct Timers;

struct Sleep(Timer);

impl Future for Sleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.0).poll(cx).map(|_| ())
    }
}

impl hyper::rt::Sleep for Sleep {}

impl hyper::rt::Timer for Timers {
    fn sleep(&self, span: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep(Timer::after(span)))
    }
    fn sleep_until(&self, at: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep(Timer::at(at)))
    }
}

/// Takes connections for ever.
pub async fn listen(daemon: Rc<Daemon>, executor: Rc<LocalExecutor<'static>>, listener: Async<TcpListener>) {
    let open = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((_, peer)) if Rc::strong_count(&open) > MOST => log::ended("cluster api", peer, "too_many", 0),
            Ok((stream, peer)) => {
                let (daemon, open) = (Rc::clone(&daemon), Rc::clone(&open));
                let serve = async move {
                    let reason = serve(daemon, stream, peer).await;
                    log::ended("cluster api", peer, reason, 0);
                    drop(open);
                };
                executor.spawn(serve).detach();
            }
            Err(e) => {
                log::line(format_args!("cluster api accept failed: {e}"));
                Timer::after(Duration::from_millis(10)).await;
            }
        }
        future::yield_now().await;
    }
}

async fn serve(daemon: Rc<Daemon>, stream: Async<TcpStream>, peer: SocketAddr) -> &'static str {
    let _ = stream.get_ref().set_nodelay(true);
    let service = hyper::service::service_fn(move |request| {
        let daemon = Rc::clone(&daemon);
        async move {
            let reply = Api { daemon, peer }.answer(request).await;
            Ok::<_, Infallible>(reply.unwrap_or_else(|problem| problem.response()))
        }
    });
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(Timers)
        .header_read_timeout(HEAD)
        .serve_connection(FuturesIo::new(stream), service);
    let late = async {
        Timer::after(LIFE).await;
        "too_long"
    };
    let served = async {
        match conn.await {
            Ok(()) => "closed",
            Err(e) if e.is_timeout() => "head_timeout",
            Err(e) if e.is_parse() => "protocol_violation",
            Err(_) => "reset",
        }
    };
    served.or(late).await
}

fn problem(status: StatusCode, kind: &'static str, detail: impl Into<String>) -> Problem {
    Problem::new(status, kind, detail)
}

fn bad(detail: impl Into<String>) -> Problem {
    problem(StatusCode::BAD_REQUEST, "invalid-request", detail)
}

fn reply(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::from(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

fn told(value: &Value) -> Reply {
    reply(StatusCode::OK, "application/json", format!("{value}\n").into_bytes())
}

impl From<Unagreed> for Problem {
    fn from(why: Unagreed) -> Self {
        match why {
            Unagreed::Late => problem(
                StatusCode::GATEWAY_TIMEOUT,
                "outcome-unknown",
                "not agreed on in its time; it may still come to be: ask again under the same Request-Id",
            ),
            Unagreed::Refused(Refused::TooLarge) => problem(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too-large",
                "a key, a value or the transaction is too large",
            ),
            Unagreed::Refused(Refused::Full) => {
                problem(StatusCode::INSUFFICIENT_STORAGE, "store-full", "the store is full")
            }
            Unagreed::Refused(Refused::NoLease(id)) => {
                problem(StatusCode::NOT_FOUND, "no-such-lease", format!("there is no lease {id}"))
            }
            Unagreed::Refused(Refused::Future) => bad("there is no such revision yet"),
            Unagreed::Rejected(why) => {
                let detail = match why {
                    Rejected::IdUsed => "this id was given before; ids are never used twice",
                    Rejected::Unknown => "there is no such member, or it is not of that kind",
                    Rejected::Behind => "it has not caught up yet; try again",
                    Rejected::LastVoter => "the last voter can't leave",
                    Rejected::NotLeader | Rejected::Pending | Rejected::Busy => "not now; try again",
                };
                problem(StatusCode::CONFLICT, "rejected", detail)
            }
        }
    }
}

impl From<Unfit> for Problem {
    fn from(why: Unfit) -> Self {
        match why {
            Unfit::Problems(problems) => {
                let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
                problem(StatusCode::UNPROCESSABLE_ENTITY, "settings-invalid", lines.join("; "))
            }
            Unfit::TooLong => bad("the settings are too long"),
            Unfit::Replaced(now) => {
                problem(StatusCode::CONFLICT, "settings-replaced", format!("version {now} holds"))
            }
            Unfit::Unknown => problem(StatusCode::NOT_FOUND, "no-such-version", "that version is not kept"),
        }
    }
}

impl From<Compacted> for Problem {
    fn from(gone: Compacted) -> Self {
        let detail =
            format!("that revision is compacted away: read anew, from {} at the earliest", gone.first);
        problem(StatusCode::GONE, "compacted", detail)
    }
}

/// A value as JSON: as text where it is text.
fn value(bytes: &[u8]) -> (&'static str, Value) {
    match std::str::from_utf8(bytes) {
        Ok(text) => ("value", text.into()),
        Err(_) => ("value_base64", BASE64_STANDARD.encode(bytes).into()),
    }
}

fn entry(key: &str, revision: Revision, bytes: &[u8]) -> Value {
    let (name, value) = value(bytes);
    json!({"key": key, "revision": revision, name: value})
}

/// A condition of a transaction, as a client writes it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AskedCheck {
    key: String,
    changed: Option<Revision>,
    holds: Option<String>,
    holds_base64: Option<String>,
}

/// A change of a transaction, as a client writes it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AskedOp {
    put: Option<String>,
    delete: Option<String>,
    value: Option<String>,
    value_base64: Option<String>,
    lease: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
#[derive(Default)]
struct AskedTxn {
    checks: Vec<AskedCheck>,
    then: Vec<AskedOp>,
    otherwise: Vec<AskedOp>,
}

fn bytes(text: Option<String>, base64: Option<String>) -> Result<Vec<u8>, Problem> {
    match (text, base64) {
        (Some(text), None) => Ok(text.into_bytes()),
        (None, Some(text)) => BASE64_STANDARD.decode(text).map_err(|e| bad(format!("no base64: {e}"))),
        _ => Err(bad("one value has to be given, as text or in base64")),
    }
}

/// Keys that have a meaning are changed by calls that check it.
fn free(key: String) -> Result<String, Problem> {
    if agreed::RESERVED.iter().any(|r| key.starts_with(r)) {
        let detail = format!("`{key}` has a meaning of its own, and is changed by its own call");
        return Err(problem(StatusCode::FORBIDDEN, "reserved", detail));
    }
    Ok(key)
}

impl AskedCheck {
    fn read(self) -> Result<Check, Problem> {
        match self.changed {
            Some(revision) if self.holds.is_none() && self.holds_base64.is_none() => {
                Ok(Check::Changed(self.key, revision))
            }
            Some(_) => Err(bad("a check names `changed`, or what the key holds")),
            None => Ok(Check::Holds(self.key, bytes(self.holds, self.holds_base64)?)),
        }
    }
}

impl AskedOp {
    fn read(self) -> Result<Op, Problem> {
        match (self.put, self.delete) {
            (Some(key), None) => {
                let value = bytes(self.value, self.value_base64)?;
                Ok(Op::Put { key: free(key)?, value, lease: self.lease })
            }
            (None, Some(key)) => Ok(Op::Delete(free(key)?)),
            _ => Err(bad("a change has either `put` or `delete`")),
        }
    }
}

/// A step of the membership, as an operator writes it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MemberStep {
    /// A new member: its id and where it is.
    Add {
        /// Its id.
        id: u64,
        /// For other members.
        listen: SocketAddr,
        /// For operators.
        api: SocketAddr,
    },
    /// A learner becomes a voter.
    Promote(u64),
    /// A member leaves for good.
    Remove(u64),
    /// Leadership goes to a voter.
    Transfer(u64),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AskedLease {
    id: u64,
    ttl_ms: u64,
}

/// What stands behind the question mark.
struct Query(HashMap<String, String>);

impl Query {
    fn read(request: &Request<Incoming>) -> Result<Self, Problem> {
        let text = request.uri().query().unwrap_or_default();
        let pairs: Vec<(String, String)> =
            serde_urlencoded::from_str(text).map_err(|e| bad(format!("the query: {e}")))?;
        Ok(Query(pairs.into_iter().collect()))
    }

    /// Nothing but these may be asked: one that is misspelt would be passed over in silence.
    fn only(&self, names: &[&str]) -> Result<(), Problem> {
        match self.0.keys().find(|k| !names.contains(&k.as_str()) && *k != "within_ms") {
            Some(other) => Err(bad(format!("`{other}` means nothing here; known: {}", names.join(", ")))),
            None => Ok(()),
        }
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    fn needed(&self, name: &str) -> Result<String, Problem> {
        self.text(name).map(str::to_owned).ok_or_else(|| bad(format!("`{name}` is missing")))
    }

    fn number(&self, name: &str) -> Result<Option<u64>, Problem> {
        let read = |t: &str| t.parse().map_err(|_| bad(format!("`{name}` has to be a whole number")));
        self.text(name).map(read).transpose()
    }

    fn limit(&self) -> Result<usize, Problem> {
        Ok(self.number("limit")?.map_or(PAGE, |n| n as usize).clamp(1, LONGEST_PAGE))
    }

    fn within(&self) -> Result<Duration, Problem> {
        Ok(self.number("within_ms")?.map_or(WITHIN, Duration::from_millis).min(LONGEST))
    }
}

/// One call.
struct Api {
    daemon: Rc<Daemon>,
    peer: SocketAddr,
}

impl Api {
    async fn answer(&self, request: Request<Incoming>) -> Answering {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        let query = Query::read(&request)?;
        let header = |name: &str| {
            let text = request.headers().get(name).and_then(|v| v.to_str().ok());
            text.filter(|t| !t.is_empty()).map(|t| t.chars().take(128).collect::<String>())
        };
        let id = header("request-id");
        let who = header("operator").unwrap_or_else(|| self.peer.ip().to_string());
        let within = query.within()?;
        let body = if method == Method::GET { Vec::new() } else { self.read(request).await? };
        let changes = method != Method::GET;
        let call = Asked { query, body, id, who, within };
        let done = match (method.as_str(), path.as_str()) {
            ("GET", "/v1/state") => self.state(&call).await,
            ("PUT", "/v1/state") => self.put(&call, true).await,
            ("DELETE", "/v1/state") => self.put(&call, false).await,
            ("POST", "/v1/transactions") => self.transact(&call).await,
            ("GET", "/v1/changes") => self.changes(&call).await,
            ("POST", "/v1/compactions") => self.compact(&call).await,
            ("POST", "/v1/leases") => self.lease(&call).await,
            ("DELETE", "/v1/leases") => self.release(&call).await,
            ("GET", "/v1/cluster") => Ok(self.cluster()),
            ("POST", "/v1/cluster/members") => self.member(&call).await,
            ("GET", "/v1/settings") => self.settings(&call).await,
            ("PUT", "/v1/settings") => self.change_settings(&call, None).await,
            ("POST", "/v1/settings/rollback") => {
                call.query.only(&["version"])?;
                let version = call.query.number("version")?.ok_or_else(|| bad("`version` is missing"))?;
                self.change_settings(&call, Some(version)).await
            }
            ("GET", "/v1/settings/versions") => self.versions(&call).await,
            ("PUT", "/v1/cordons") => self.cordon(&call, true).await,
            ("DELETE", "/v1/cordons") => self.cordon(&call, false).await,
            ("PUT", "/v1/drains") => self.drain(&call, true).await,
            ("DELETE", "/v1/drains") => self.drain(&call, false).await,
            ("GET", "/v1/snapshot") => self.snapshot(&call).await,
            _ => Err(problem(StatusCode::NOT_FOUND, "no-such-call", format!("there is no {method} {path}"))),
        };
        if changes {
            let told = done.as_ref().map_or_else(
                |p| format!("{} {}", p.status.as_u16(), p.kind),
                |r| r.status().as_u16().to_string(),
            );
            log::line(format_args!("cluster api {} {} {method} {path} {told}", self.peer, call.who));
        }
        done
    }

    async fn read(&self, request: Request<Incoming>) -> Result<Vec<u8>, Problem> {
        let whole = async {
            let body = Limited::new(request.into_body(), MAX_BODY).collect().await;
            body.map(|b| b.to_bytes().to_vec()).map_err(|e| {
                let detail = format!("the body can't be read: {e}");
                problem(StatusCode::BAD_REQUEST, "invalid-request", detail).closing()
            })
        };
        let late = async {
            Timer::after(BODY).await;
            Err(problem(StatusCode::REQUEST_TIMEOUT, "request-timeout", "the body was not whole in time")
                .closing())
        };
        whole.or(late).await
    }

    /// Waits until this member's copy is current.
    async fn current(&self, call: &Asked) -> Result<(), Problem> {
        if call.query.text("stale") == Some("true") || self.daemon.cluster.current(call.within).await {
            return Ok(());
        }
        let detail =
            "this member can't tell whether its copy is current; another one may, or `stale=true` reads it";
        Err(problem(StatusCode::SERVICE_UNAVAILABLE, "isolated", detail).after(0))
    }

    async fn state(&self, call: &Asked) -> Answering {
        let query = &call.query;
        query.only(&["key", "prefix", "limit", "revision", "after", "stale"])?;
        let limit = query.limit()?;
        let at = query.number("revision")?;
        self.current(call).await?;
        self.daemon.cluster.store(|store| {
            if let Some(key) = query.text("key") {
                let (revision, bytes) = store.get(key).ok_or_else(|| {
                    problem(StatusCode::NOT_FOUND, "no-such-key", format!("there is no `{key}`"))
                })?;
                return Ok(told(&entry(key, revision, bytes)));
            }
            let prefix = query.text("prefix").unwrap_or_default();
            let listing = store.list(prefix, at, query.text("after"), limit)?;
            let entries: Vec<_> = listing.entries.iter().map(|(k, r, v)| entry(k, *r, v)).collect();
            let next = listing.next.map(|after| {
                let pairs = [
                    ("prefix", prefix.to_owned()),
                    ("limit", limit.to_string()),
                    ("revision", listing.revision.to_string()),
                    ("after", after),
                ];
                format!("/v1/state?{}", serde_urlencoded::to_string(pairs).unwrap_or_default())
            });
            Ok(told(&json!({"revision": listing.revision, "entries": entries, "next": next})))
        })
    }

    async fn agree(&self, call: &Asked, txn: Txn) -> Result<(Revision, bool), Problem> {
        Ok(self.daemon.agree(call.id.clone(), &call.who, txn, call.within).await?)
    }

    async fn step(&self, call: &Asked, step: Step) -> Answering {
        let request = call.id.clone().unwrap_or_else(request_id);
        let asked = Call::Propose { request, who: call.who.clone(), step };
        match self.daemon.cluster.agree(asked, call.within).await {
            Answered::Yes(Answer::Done(Outcome::Done { revision, .. })) => {
                Ok(told(&json!({"revision": revision})))
            }
            Answered::Yes(Answer::Done(Outcome::Refused(why))) => Err(Unagreed::Refused(why).into()),
            Answered::Yes(Answer::Rejected(why)) => Err(Unagreed::Rejected(why).into()),
            _ => Err(Unagreed::Late.into()),
        }
    }

    fn held((revision, held): (Revision, bool)) -> Answering {
        if !held {
            let detail = format!("a condition does not hold, as of revision {revision}");
            return Err(problem(StatusCode::PRECONDITION_FAILED, "condition-failed", detail));
        }
        Ok(told(&json!({"revision": revision})))
    }

    async fn put(&self, call: &Asked, sets: bool) -> Answering {
        call.query.only(&["key", "if_revision", "lease"])?;
        let key = free(call.query.needed("key")?)?;
        let checks =
            call.query.number("if_revision")?.map(|r| Check::Changed(key.clone(), r)).into_iter().collect();
        let lease = call.query.number("lease")?;
        let op = if sets { Op::Put { key, value: call.body.clone(), lease } } else { Op::Delete(key) };
        Self::held(self.agree(call, Txn { checks, then: vec![op], ..Txn::default() }).await?)
    }

    async fn transact(&self, call: &Asked) -> Answering {
        call.query.only(&[])?;
        let asked: AskedTxn =
            serde_json::from_slice(&call.body).map_err(|e| bad(format!("the body: {e}")))?;
        let ops = |ops: Vec<AskedOp>| ops.into_iter().map(AskedOp::read).collect::<Result<Vec<_>, _>>();
        let txn = Txn {
            checks: asked.checks.into_iter().map(AskedCheck::read).collect::<Result<_, _>>()?,
            then: ops(asked.then)?,
            otherwise: ops(asked.otherwise)?,
        };
        let (revision, held) = self.agree(call, txn).await?;
        Ok(told(&json!({"revision": revision, "held": held})))
    }

    /// Changes after a revision; with none, they are waited for.
    async fn changes(&self, call: &Asked) -> Answering {
        let query = &call.query;
        query.only(&["after", "prefix", "limit", "wait_ms"])?;
        let cluster = &self.daemon.cluster;
        let prefix = query.text("prefix").unwrap_or_default();
        let limit = query.limit()?;
        let after = match query.number("after")? {
            Some(after) => after,
            None => cluster.store(|s| s.revision()),
        };
        let until =
            Instant::now() + Duration::from_millis(query.number("wait_ms")?.unwrap_or(0)).min(LONGEST);
        loop {
            let applied = cluster.status().applied;
            let (changes, now) = cluster.store(|s| (s.changes(after, prefix, limit), s.revision()));
            let changes = changes?;
            let left = until.saturating_duration_since(Instant::now());
            if changes.is_empty() && !left.is_zero() {
                let late = async {
                    Timer::after(left).await;
                };
                cluster.moved(applied).or(late).await;
                continue;
            }
            // Where a page ends in the middle, the next one begins at its last revision.
            let full = changes.len() >= limit;
            let to = if full { changes.last().map_or(now, |c| c.revision) } else { now.max(after) };
            let changes: Vec<_> = changes
                .iter()
                .map(|c| {
                    let (name, value) = c.value.as_ref().map_or(("deleted", true.into()), |v| value(v));
                    json!({"revision": c.revision, "key": c.key, name: value, "who": c.who, "time_us": c.time})
                })
                .collect();
            return Ok(told(&json!({"revision": to, "changes": changes})));
        }
    }

    async fn compact(&self, call: &Asked) -> Answering {
        call.query.only(&["revision"])?;
        let to = call.query.number("revision")?.ok_or_else(|| bad("`revision` is missing"))?;
        self.step(call, Step::Compact(to)).await
    }

    async fn lease(&self, call: &Asked) -> Answering {
        call.query.only(&[])?;
        let asked: AskedLease =
            serde_json::from_slice(&call.body).map_err(|e| bad(format!("the body: {e}")))?;
        self.step(call, Step::Lease { id: asked.id, span: asked.ttl_ms.saturating_mul(1000) }).await
    }

    async fn release(&self, call: &Asked) -> Answering {
        call.query.only(&["id"])?;
        let id = call.query.number("id")?.ok_or_else(|| bad("`id` is missing"))?;
        self.step(call, Step::Release(id)).await
    }

    fn cluster(&self) -> Reply {
        let status = self.daemon.status();
        let role = match status.role {
            Role::Leader => "leader",
            Role::Candidate => "candidate",
            Role::Follower => "follower",
        };
        let view = self.daemon.view.borrow();
        let given = self.daemon.given.addresses();
        let members: Vec<_> = status
            .members
            .all()
            .map(|id| {
                let record = view.members.get(&id);
                let matched = status.progress.iter().find(|(m, _)| *m == id).map(|(_, at)| *at);
                json!({
                    "id": id,
                    "voter": status.members.voters.contains(&id),
                    "listen": record.map(|r| r.listen).or(given.get(&id).copied()),
                    "api": record.map(|r| r.api),
                    "has": matched,
                })
            })
            .collect();
        told(&json!({
            "cluster": self.daemon.given.name,
            "id": status.id, "role": role, "term": status.term, "leader": status.leader,
            "commit": status.commit, "applied": status.applied, "revision": status.revision,
            "routes": status.fresh.is_ok(),
            "state_age_ms": status.fresh.err().and_then(|s| s.age).map(|a| a / 1000),
            "stopped": self.daemon.cluster.lost(),
            "highest_id": status.members.highest,
            "members": members,
        }))
    }

    async fn member(&self, call: &Asked) -> Answering {
        call.query.only(&[])?;
        let step: MemberStep =
            serde_json::from_slice(&call.body).map_err(|e| bad(format!("the body: {e}")))?;
        let change = match step {
            MemberStep::Add { id, listen, api } => {
                // Where it is comes first, so that the leader finds it.
                let record = Record { listen, api, born: None };
                let known = self.daemon.status().members.highest;
                if id <= known {
                    return Err(Unagreed::Rejected(Rejected::IdUsed).into());
                }
                let txn = self.daemon.cluster.store(|s| agreed::member(s, id, &record));
                if let Some(txn) = txn {
                    self.daemon.agree(None, &call.who, txn, call.within).await?;
                }
                Call::Change(Change::Add(id))
            }
            MemberStep::Promote(id) => Call::Change(Change::Promote(id)),
            MemberStep::Remove(id) => Call::Change(Change::Remove(id)),
            MemberStep::Transfer(id) => Call::Transfer(id),
        };
        match self.daemon.cluster.agree(change, call.within).await {
            Answered::Yes(Answer::Changed) => {}
            Answered::Yes(Answer::Rejected(why)) => return Err(Unagreed::Rejected(why).into()),
            _ => return Err(Unagreed::Late.into()),
        }
        let _ = self.daemon.cluster.current(call.within).await;
        Ok(self.cluster())
    }

    async fn settings(&self, call: &Asked) -> Answering {
        call.query.only(&["version", "stale"])?;
        let asked = call.query.number("version")?;
        self.current(call).await?;
        let current = self.daemon.view.borrow().settings.clone();
        let (version, text) = match asked {
            None => current.unwrap_or_default(),
            Some(v) => {
                let text = self.daemon.cluster.store(|s| agreed::version(s, v));
                (v, text.ok_or(Unfit::Unknown)?)
            }
        };
        let mut reply = reply(StatusCode::OK, "text/plain; charset=utf-8", text.into_bytes());
        reply.headers_mut().insert("settings-version", HeaderValue::from(version));
        Ok(reply)
    }

    /// Settings, or those of an earlier version, come to hold.
    async fn change_settings(&self, call: &Asked, back_to: Option<u64>) -> Answering {
        // What an earlier try has already brought about is not looked at anew: its outcome is told.
        self.current(call).await?;
        let cluster = &self.daemon.cluster;
        let done = call.id.as_ref().and_then(|id| cluster.store(|s| s.outcome(id).cloned()));
        let (revision, held) = match done {
            Some(Outcome::Done { revision, held }) => (revision, held),
            Some(Outcome::Refused(why)) => return Err(Unagreed::Refused(why).into()),
            None => {
                let (_, txn) = match back_to {
                    Some(version) => cluster.store(|s| agreed::roll_back(s, version))?,
                    None => {
                        call.query.only(&["expect"])?;
                        let expect = call.query.number("expect")?;
                        let text = std::str::from_utf8(&call.body).map_err(|_| bad("the body is no text"))?;
                        cluster.store(|s| agreed::settings(s, text, expect))?
                    }
                };
                self.agree(call, txn).await?
            }
        };
        if !held {
            let now = cluster.store(agreed::current_version);
            return Err(Unfit::Replaced(now).into());
        }
        // Where this member only passed it on, it may not have it yet.
        self.current(call).await?;
        let version = cluster.store(|s| agreed::version_of(s, revision));
        Ok(told(&json!({"revision": revision, "version": version})))
    }

    async fn versions(&self, call: &Asked) -> Answering {
        call.query.only(&["stale"])?;
        self.current(call).await?;
        let (current, kept) =
            self.daemon.cluster.store(|s| (agreed::current_version(s), agreed::versions(s)));
        let versions: Vec<_> = kept.iter().map(|(v, r)| json!({"version": v, "revision": r})).collect();
        Ok(told(&json!({"current": current, "versions": versions})))
    }

    async fn cordon(&self, call: &Asked, out: bool) -> Answering {
        call.query.only(&["engine"])?;
        let engine = call.query.needed("engine")?;
        let known = self.daemon.parts.get().is_some_and(|p| p.ids.known(&engine));
        let called = self.daemon.view.borrow().cordons.contains(&engine);
        if !known && !called {
            return Err(problem(StatusCode::NOT_FOUND, "no-such-engine", format!("no engine {engine:?}")));
        }
        Self::held(self.agree(call, agreed::cordon(&engine, out, &call.who)).await?)
    }

    async fn drain(&self, call: &Asked, on: bool) -> Answering {
        call.query.only(&["member"])?;
        let member = call.query.number("member")?.unwrap_or(self.daemon.id);
        if !self.daemon.status().members.contains(member) {
            return Err(Unagreed::Rejected(Rejected::Unknown).into());
        }
        Self::held(self.agree(call, agreed::drain(member, on, &call.who)).await?)
    }

    async fn snapshot(&self, call: &Asked) -> Answering {
        call.query.only(&["stale"])?;
        self.current(call).await?;
        let mut reply = reply(StatusCode::OK, "application/octet-stream", self.daemon.cluster.save());
        let revision = self.daemon.status().revision;
        reply.headers_mut().insert("state-revision", HeaderValue::from(revision));
        Ok(reply)
    }
}

/// What a call asks, beside its method and path.
struct Asked {
    query: Query,
    body: Vec<u8>,
    /// The request's id; the same again gets the same outcome.
    id: Option<String>,
    who: String,
    within: Duration,
}

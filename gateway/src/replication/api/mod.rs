//! The cluster's API: operators read and change over HTTP/1.1 what is agreed on. docs/daemon-operations.md has the calls.
//!
//! Any member takes any call; a change is answered once it is agreed on, or as unknown. It must never answer a read from
//! a copy that is not current, unless it was asked to.

mod cluster;
mod http;
mod query;
mod settings;
mod state;

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde_json::json;
use smol_hyper::rt::FuturesIo;
use violetgate_replica::Response;
use violetgate_replica_runtime::{Call, CallOutcome};
use violetgate_replicated_state::{Operation, Outcome, Revision, Txn};

use super::{request_id, ClusterMember, CommitError};
use crate::http_error::HttpError;
use crate::log;
use http::{bad, problem, told, Answering, Timers};
use query::{ApiCall, Query};

pub use cluster::MembershipStep;

/// Connections at a time; more are closed at once.
const MOST: usize = 64;
/// The longest body: a transaction of the most and longest changes, in base64.
const MAX_BODY: usize = 12 << 20;
/// How long a head, and a whole body, may take to come.
const HEAD: Duration = Duration::from_secs(5);
const BODY: Duration = Duration::from_secs(30);
/// How long a connection may last; then it closes after the answer at hand.
const LIFE: Duration = Duration::from_secs(600);

/// Takes connections for ever.
pub async fn listen(
    daemon: Rc<ClusterMember>,
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
) {
    let open = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((_, peer)) if Rc::strong_count(&open) > MOST => {
                log::ended("cluster api", peer, "too_many", 0)
            }
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

async fn serve(
    daemon: Rc<ClusterMember>,
    stream: Async<TcpStream>,
    peer: SocketAddr,
) -> &'static str {
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

/// One call.
struct Api {
    daemon: Rc<ClusterMember>,
    peer: SocketAddr,
}

impl Api {
    async fn answer(&self, request: Request<Incoming>) -> Answering {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        let query = Query::read(&request)?;
        let header = |name: &str| {
            let text = request.headers().get(name).and_then(|v| v.to_str().ok());
            text.filter(|t| !t.is_empty())
                .map(|t| t.chars().take(128).collect::<String>())
        };
        let id = header("request-id");
        let who = header("operator").unwrap_or_else(|| self.peer.ip().to_string());
        let within = query.within()?;
        let body = if method == Method::GET {
            Vec::new()
        } else {
            self.read(request).await?
        };
        let changes = method != Method::GET;
        let call = ApiCall {
            query,
            body,
            id,
            who,
            within,
        };
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
                let version = call
                    .query
                    .number("version")?
                    .ok_or_else(|| bad("`version` is missing"))?;
                self.change_settings(&call, Some(version)).await
            }
            ("GET", "/v1/settings/versions") => self.versions(&call).await,
            ("PUT", "/v1/cordons") => self.cordon(&call, true).await,
            ("DELETE", "/v1/cordons") => self.cordon(&call, false).await,
            ("PUT", "/v1/drains") => self.drain(&call, true).await,
            ("DELETE", "/v1/drains") => self.drain(&call, false).await,
            ("GET", "/v1/fleet/progress") => self.fleet_progress(&call),
            ("GET", "/v1/snapshot") => self.snapshot(&call).await,
            _ => Err(problem(
                StatusCode::NOT_FOUND,
                "no-such-call",
                format!("there is no {method} {path}"),
            )),
        };
        if changes {
            let told = done.as_ref().map_or_else(
                |p| format!("{} {}", p.status.as_u16(), p.kind),
                |r| r.status().as_u16().to_string(),
            );
            log::line(format_args!(
                "cluster api {} {} {method} {path} {told}",
                self.peer, call.who
            ));
        }
        done
    }

    async fn read(&self, request: Request<Incoming>) -> Result<Vec<u8>, HttpError> {
        let whole = async {
            let body = Limited::new(request.into_body(), MAX_BODY).collect().await;
            body.map(|b| b.to_bytes().to_vec()).map_err(|e| {
                let detail = format!("the body can't be read: {e}");
                problem(StatusCode::BAD_REQUEST, "invalid-request", detail).closing()
            })
        };
        let late = async {
            Timer::after(BODY).await;
            Err(problem(
                StatusCode::REQUEST_TIMEOUT,
                "request-timeout",
                "the body was not whole in time",
            )
            .closing())
        };
        whole.or(late).await
    }

    /// Waits until this member's copy is current.
    async fn current(&self, call: &ApiCall) -> Result<(), HttpError> {
        if call.query.text("stale") == Some("true")
            || self.daemon.cluster.wait_until_current(call.within).await
        {
            return Ok(());
        }
        let detail =
            "this member can't tell whether its copy is current; another one may, or `stale=true` reads it";
        Err(problem(StatusCode::SERVICE_UNAVAILABLE, "isolated", detail).after(0))
    }

    async fn agree(&self, call: &ApiCall, txn: Txn) -> Result<(Revision, bool), HttpError> {
        Ok(self
            .daemon
            .agree(call.id.clone(), &call.who, txn, call.within)
            .await?)
    }

    async fn step(&self, call: &ApiCall, step: Operation) -> Answering {
        let request = call.id.clone().unwrap_or_else(request_id);
        let asked = Call::Propose {
            request_id: request,
            actor: call.who.clone(),
            operation: step,
        };
        match self.daemon.cluster.submit(asked, call.within).await {
            CallOutcome::Completed(Response::Applied(Outcome::Applied { revision, .. })) => {
                Ok(told(&json!({"revision": revision})))
            }
            CallOutcome::Completed(Response::Applied(Outcome::Rejected(why))) => {
                Err(CommitError::Refused(why).into())
            }
            CallOutcome::Completed(Response::Rejected(why)) => {
                Err(CommitError::Rejected(why).into())
            }
            _ => Err(CommitError::Late.into()),
        }
    }

    fn held((revision, held): (Revision, bool)) -> Answering {
        if !held {
            let detail = format!("a condition does not hold, as of revision {revision}");
            return Err(problem(
                StatusCode::PRECONDITION_FAILED,
                "condition-failed",
                detail,
            ));
        }
        Ok(told(&json!({"revision": revision})))
    }
}

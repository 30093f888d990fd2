//! Reads a call of the cluster API and dispatches it to its handler.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use violetgate_memory_budget::Charge;
use violetgate_replicated_state::Txn;

use super::super::member::{ClusterMember, Commit};
use super::connection::{ApiConnection, CallBody};
use super::query::Query;
use super::responses::{revision_reply, ReplyResult};
use crate::connection_limit::ConnectionState;
use crate::http_error::HttpError;
use crate::log;

/// The maximum size of a body. It allows a transaction with the maximum number of mutations of the
/// maximum size, in base64.
const MAX_BODY_BYTES: usize = 12 << 20;
/// The time within which a body has to arrive completely.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// The length to which request ids and operator names are truncated.
const MAX_HEADER_CHARS: usize = 128;

/// A call without its method and path.
pub(super) struct ApiCall {
    pub query: Query,
    pub body: Vec<u8>,
    /// The memory of the body, until the call is answered.
    _memory: Option<Charge>,
    /// The request id. A repeated change with the same id gets the same outcome.
    pub request_id: Option<String>,
    /// The name of the caller in the change log; by default its IP address.
    pub operator: String,
    pub timeout: Duration,
}

/// Handles the calls of one client.
pub(super) struct Api {
    pub(super) member: Rc<ClusterMember>,
    peer: SocketAddr,
    connection: Rc<ApiConnection>,
}

impl Api {
    pub(super) fn new(
        member: Rc<ClusterMember>,
        peer: SocketAddr,
        connection: Rc<ApiConnection>,
    ) -> Self {
        Api {
            member,
            peer,
            connection,
        }
    }

    /// Answers a call, and logs it unless it only reads.
    pub(super) async fn answer(&self, request: Request<Incoming>) -> ReplyResult {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        let call = self.read_call(request).await?;
        self.connection.slot.record_request();
        self.connection.set_state(ConnectionState::Busy);
        let reply = self.dispatch(&method, &path, &call).await;
        self.connection.set_state(ConnectionState::Idle);
        let reply = reply.and_then(|reply| {
            self.connection.charge_answer(&reply)?;
            Ok(reply)
        });
        if method != Method::GET {
            let result = match &reply {
                Ok(reply) => reply.status().as_u16().to_string(),
                Err(error) => format!("{} {}", error.status.as_u16(), error.kind),
            };
            log::write_line(format_args!(
                "cluster api {} {} {method} {path} {result}",
                self.peer, call.operator
            ));
        }
        reply
    }

    async fn read_call(&self, request: Request<Incoming>) -> Result<ApiCall, HttpError> {
        let query = Query::read(&request)?;
        let header = |name: &str| {
            let text = request.headers().get(name)?.to_str().ok()?;
            let text: String = text.chars().take(MAX_HEADER_CHARS).collect();
            Some(text).filter(|text| !text.is_empty())
        };
        let request_id = header("request-id");
        let operator = header("operator").unwrap_or_else(|| self.peer.ip().to_string());
        let timeout = query.timeout()?;
        let body = if request.method() == Method::GET {
            None
        } else {
            Some(self.read_body(request).await?)
        };
        let (body, memory) =
            body.map_or_else(Default::default, |body| (body.bytes, Some(body.memory)));
        Ok(ApiCall {
            query,
            body,
            _memory: memory,
            request_id,
            operator,
            timeout,
        })
    }

    async fn read_body(&self, request: Request<Incoming>) -> Result<CallBody, HttpError> {
        let read = self
            .connection
            .read_body(request.into_body(), MAX_BODY_BYTES);
        let timed_out = async {
            Timer::after(BODY_TIMEOUT).await;
            let detail = "the body was not whole in time";
            Err(HttpError::new(StatusCode::REQUEST_TIMEOUT, "request-timeout", detail).closing())
        };
        read.or(timed_out).await
    }

    async fn dispatch(&self, method: &Method, path: &str, call: &ApiCall) -> ReplyResult {
        match (method.as_str(), path) {
            ("GET", "/v1/state") => self.read_state(call).await,
            ("PUT", "/v1/state") => self.put_key(call).await,
            ("DELETE", "/v1/state") => self.delete_key(call).await,
            ("POST", "/v1/transactions") => self.transact(call).await,
            ("GET", "/v1/changes") => self.changes(call).await,
            ("POST", "/v1/compactions") => self.compact(call).await,
            ("POST", "/v1/leases") => self.grant_lease(call).await,
            ("DELETE", "/v1/leases") => self.release_lease(call).await,
            ("GET", "/v1/cluster") => Ok(self.cluster()),
            ("POST", "/v1/cluster/members") => self.change_membership(call).await,
            ("GET", "/v1/settings") => self.read_settings(call).await,
            ("PUT", "/v1/settings") => self.apply_settings(call).await,
            ("POST", "/v1/settings/rollback") => self.roll_back_settings(call).await,
            ("GET", "/v1/settings/versions") => self.settings_versions(call).await,
            ("PUT", "/v1/cordons") => self.set_cordon(call, true).await,
            ("DELETE", "/v1/cordons") => self.set_cordon(call, false).await,
            ("PUT", "/v1/drains") => self.set_drain(call, true).await,
            ("DELETE", "/v1/drains") => self.set_drain(call, false).await,
            ("GET", "/v1/fleet/progress") => self.fleet_progress(call),
            ("GET", "/v1/snapshot") => self.snapshot(call).await,
            _ => Err(HttpError::new(
                StatusCode::NOT_FOUND,
                "no-such-call",
                format!("there is no {method} {path}"),
            )),
        }
    }

    /// Waits until this member's copy of the state is current, unless the call accepts a stale one.
    /// Fails if that takes longer than the call's timeout.
    pub(super) async fn wait_until_current(&self, call: &ApiCall) -> Result<(), HttpError> {
        let takes_stale = call.query.text("stale") == Some("true");
        if takes_stale || self.member.runtime.wait_until_current(call.timeout).await {
            return Ok(());
        }
        let detail = "this member can't tell whether its copy is current; another one may, or \
                      `stale=true` reads it";
        let error = HttpError::new(StatusCode::SERVICE_UNAVAILABLE, "isolated", detail);
        Err(error.with_retry_after(0))
    }

    pub(super) async fn commit(
        &self,
        call: &ApiCall,
        transaction: Txn,
    ) -> Result<Commit, HttpError> {
        let request_id = call.request_id.clone();
        let commit = self
            .member
            .commit(request_id, &call.operator, transaction, call.timeout);
        Ok(commit.await?)
    }
}

/// Returns the reply to a committed transaction, or an error if its conditions did not hold when it
/// was applied. A transaction is committed before its conditions are checked.
pub(super) fn commit_reply(commit: Commit) -> ReplyResult {
    if commit.conditions_held {
        return Ok(revision_reply(commit.revision));
    }
    let detail = format!(
        "a condition does not hold, as of revision {}",
        commit.revision
    );
    Err(HttpError::new(
        StatusCode::PRECONDITION_FAILED,
        "condition-failed",
        detail,
    ))
}

//! A client of the members' APIs. It tries the members in turn, and repeats an unanswered call
//! under the same request id.

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use thiserror::Error;
use ureq::http::{Method, Request};
use ureq::Agent;

use super::error::CtlError;
use crate::replication::{new_request_id, MembershipStep};

/// The pause after all members were tried, before they are tried again.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The maximum length of an answer. The longest answer is a saved state.
const MAX_ANSWER_BYTES: u64 = 1 << 30;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The minimum time that a member is given for a call, even if less is left until the deadline.
const MIN_CALL_MS: u128 = 100;
/// How much longer than the call's timeout, which the member knows too, the client waits for the
/// answer. A member that gives up at the timeout can still say so.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Options that every call to the cluster has: the members' addresses, the timeout, the request id
/// and the operator.
#[derive(Debug, Clone, clap::Args)]
pub struct ClientOptions {
    /// Where members' APIs are; each is asked in turn until one answers
    #[arg(
        long,
        global = true,
        env = "VIOLETGATE_AT",
        value_delimiter = ',',
        default_value = "127.0.0.1:7490"
    )]
    at: Vec<SocketAddr>,
    /// Seconds that a call may take
    #[arg(long, global = true, default_value_t = 5.0)]
    within: f64,
    /// The id of this call; the same call again under it changes nothing and tells the same
    #[arg(long, global = true)]
    request_id: Option<String>,
    /// Who you are, for the change log
    #[arg(long, global = true, env = "USER", default_value = "operator")]
    operator: String,
}

/// The answer of a member to a call: its HTTP status and body.
pub(super) struct ApiReply {
    pub status: u16,
    pub body: Vec<u8>,
}

impl ApiReply {
    /// Parses the body. Returns null if it isn't JSON.
    pub(super) fn body_json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The error's `detail` field, or the whole body if there is no such field.
    fn detail(&self) -> String {
        let json = self.body_json();
        field(&json, "detail").as_str().map_or_else(
            || String::from_utf8_lossy(&self.body).into_owned(),
            str::to_owned,
        )
    }
}

/// The field `name` of a JSON value, or null if there is none.
pub(super) fn field<'a>(value: &'a Value, name: &str) -> &'a Value {
    value.get(name).unwrap_or(&Value::Null)
}

/// The value of an entry in the form that is printed: text, or base64 if it isn't UTF-8.
pub(super) fn shown_value(entry: &Value) -> String {
    let text = field(entry, "value").as_str().map(str::to_owned);
    text.unwrap_or_else(|| {
        let base64 = field(entry, "value_base64").as_str();
        format!("base64:{}", base64.unwrap_or_default())
    })
}

/// Appends the query parameters to a path. Parameters without a value are left out.
pub(super) fn path_with_query(path: &str, parameters: &[(&str, Option<String>)]) -> String {
    let given: Vec<_> = parameters
        .iter()
        .filter_map(|(name, value)| Some((name, value.as_ref()?)))
        .collect();
    match serde_urlencoded::to_string(given) {
        Ok(text) if !text.is_empty() => format!("{path}?{text}"),
        _ => path.to_owned(),
    }
}

/// Writes to standard output. Returns false if the reader has closed it; that isn't an error of
/// the command.
pub(super) fn print(bytes: &[u8]) -> bool {
    let mut out = std::io::stdout().lock();
    out.write_all(bytes).and_then(|()| out.flush()).is_ok()
}

/// Why a call to one member failed without an answer.
#[derive(Debug, Error)]
enum TransportError {
    #[error("{0}")]
    Request(#[from] ureq::http::Error),
    #[error("{0}")]
    Connection(#[from] ureq::Error),
}

/// A client of the members' APIs. All its calls use one request id.
pub(super) struct ApiClient {
    options: ClientOptions,
    agent: Agent,
    deadline: Instant,
    request_id: String,
}

impl ApiClient {
    pub(super) fn new(options: &ClientOptions) -> Result<Self, CtlError> {
        let timeout = Duration::try_from_secs_f64(options.within)?;
        let request_id = options.request_id.clone();
        let mut client = ApiClient {
            agent: Agent::new_with_defaults(),
            deadline: Instant::now(),
            request_id: request_id.unwrap_or_else(new_request_id),
            options: options.clone(),
        };
        client.set_timeout(timeout);
        Ok(client)
    }

    /// Sets the deadline of the calls that follow to `timeout` from now.
    pub(super) fn set_timeout(&mut self, timeout: Duration) {
        self.deadline = Instant::now() + timeout;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(timeout + ANSWER_MARGIN))
            .build();
        self.agent = config.new_agent();
    }

    /// Calls one member once, without a retry.
    fn call_member(
        &self,
        member: SocketAddr,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<ApiReply, TransportError> {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let time_left_ms = time_left.as_millis().max(MIN_CALL_MS);
        let separator = if path.contains('?') { '&' } else { '?' };
        let request = Request::builder()
            .method(method.clone())
            .uri(format!(
                "http://{member}{path}{separator}within_ms={time_left_ms}"
            ))
            .header("request-id", &self.request_id)
            .header("operator", &self.options.operator)
            .body(body.to_vec())?;
        let mut reply = self.agent.run(request)?;
        let body = reply
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_vec()?;
        Ok(ApiReply {
            status: reply.status().as_u16(),
            body,
        })
    }

    /// Calls the members in turn until one answers. All calls have the same request id, so that the
    /// cluster makes a change only once.
    pub(super) fn call(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<ApiReply, CtlError> {
        let mut last_failure = "no address".to_owned();
        loop {
            for member in &self.options.at {
                match self.call_member(*member, method, path, body) {
                    // The member is isolated, or doesn't know the outcome. Another may know it.
                    Ok(reply) if matches!(reply.status, 503 | 504) => {
                        last_failure = format!("{member}: {}", reply.detail());
                    }
                    Ok(reply) if reply.status < 300 => return Ok(reply),
                    Ok(reply) => {
                        let (detail, status) = (reply.detail(), reply.status);
                        return Err(CtlError::Rejected { detail, status });
                    }
                    Err(error) => last_failure = format!("{member}: {error}"),
                }
            }
            if Instant::now() >= self.deadline {
                let changes = *method != Method::GET;
                let retry_id = changes.then(|| self.request_id.clone());
                return Err(CtlError::Unanswered {
                    last_failure,
                    retry_id,
                });
            }
            std::thread::sleep(RETRY_PAUSE);
        }
    }

    pub(super) fn get(&self, path: &str) -> Result<ApiReply, CtlError> {
        self.call(&Method::GET, path, &[])
    }

    /// Requests one change of the cluster's membership.
    pub(super) fn change_membership(&self, step: &MembershipStep) -> Result<ApiReply, CtlError> {
        let body = serde_json::to_vec(step)?;
        self.call(&Method::POST, "/v1/cluster/members", &body)
    }
}

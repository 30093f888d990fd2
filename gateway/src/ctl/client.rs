//! A client of members' APIs: it tries one member after the other, and retries an unanswered call
//! under its one request id.

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use thiserror::Error;
use ureq::http::{Method, Request};
use ureq::Agent;

use super::error::CtlError;
use crate::replication::{new_request_id, MembershipStep};

/// The pause before the members are tried again.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The longest answer: a saved state.
const MAX_ANSWER_BYTES: u64 = 1 << 30;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A member gets at least this long for a call, and its answer this long more.
const MIN_CALL_MS: u128 = 100;
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Which cluster, and how patiently.
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

/// An answer of a member.
pub(super) struct ApiReply {
    pub status: u16,
    pub body: Vec<u8>,
}

impl ApiReply {
    /// Its body; null if that is no JSON.
    pub(super) fn body_json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// What an error says.
    fn detail(&self) -> String {
        let json = self.body_json();
        field(&json, "detail").as_str().map_or_else(
            || String::from_utf8_lossy(&self.body).into_owned(),
            str::to_owned,
        )
    }
}

/// A field of an answer; null if there is none.
pub(super) fn field<'a>(value: &'a Value, name: &str) -> &'a Value {
    value.get(name).unwrap_or(&Value::Null)
}

/// The value of an entry as it is printed.
pub(super) fn shown_value(entry: &Value) -> String {
    let text = field(entry, "value").as_str().map(str::to_owned);
    text.unwrap_or_else(|| {
        let base64 = field(entry, "value_base64").as_str();
        format!("base64:{}", base64.unwrap_or_default())
    })
}

/// A path with its query; parameters without a value are left out.
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

/// Writes to standard output. False: nobody reads it any more, which is no failure.
pub(super) fn print(bytes: &[u8]) -> bool {
    let mut out = std::io::stdout().lock();
    out.write_all(bytes).and_then(|()| out.flush()).is_ok()
}

/// Why one member gave no answer.
#[derive(Debug, Error)]
enum TransportError {
    #[error("{0}")]
    Request(#[from] ureq::http::Error),
    #[error("{0}")]
    Connection(#[from] ureq::Error),
}

/// A client of members' APIs.
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

    /// Sets how long calls may take from now on.
    pub(super) fn set_timeout(&mut self, timeout: Duration) {
        self.deadline = Instant::now() + timeout;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(timeout + ANSWER_MARGIN))
            .build();
        self.agent = config.new_agent();
    }

    /// Calls one member, once.
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

    /// Calls one member after the other until one has an answer: each under the same request id, so that
    /// nothing is done twice.
    pub(super) fn call(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<ApiReply, CtlError> {
        let mut last = "no address".to_owned();
        loop {
            for member in &self.options.at {
                match self.call_member(*member, method, path, body) {
                    // The outcome is unknown there, or it is isolated: another one may answer.
                    Ok(reply) if matches!(reply.status, 503 | 504) => {
                        last = format!("{member}: {}", reply.detail());
                    }
                    Ok(reply) if reply.status < 300 => return Ok(reply),
                    Ok(reply) => {
                        let (detail, status) = (reply.detail(), reply.status);
                        return Err(CtlError::Rejected { detail, status });
                    }
                    Err(error) => last = format!("{member}: {error}"),
                }
            }
            if Instant::now() >= self.deadline {
                let changes = *method != Method::GET;
                let retry_id = changes.then(|| self.request_id.clone());
                return Err(CtlError::Unanswered { last, retry_id });
            }
            std::thread::sleep(RETRY_PAUSE);
        }
    }

    pub(super) fn get(&self, path: &str) -> Result<ApiReply, CtlError> {
        self.call(&Method::GET, path, &[])
    }

    /// Takes a step of the membership.
    pub(super) fn change_membership(&self, step: &MembershipStep) -> Result<ApiReply, CtlError> {
        let body = serde_json::to_vec(step)?;
        self.call(&Method::POST, "/v1/cluster/members", &body)
    }
}

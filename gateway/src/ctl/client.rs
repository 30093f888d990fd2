//! A client of members' APIs: each member is asked in turn, and a call without an answer again under its one request id.

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;
use ureq::http::{Method, Request};
use ureq::Agent;

use crate::replication::{new_request_id, MembershipStep};

/// The pause before the members are asked again.
pub(super) const PAUSE: Duration = Duration::from_millis(100);
/// The longest answer: a saved state.
const LONGEST: u64 = 1 << 30;

/// Which cluster, and how patiently.
#[derive(Debug, Clone, clap::Args)]
pub struct At {
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

/// An answer: its status, the version of settings that it names, and its body.
pub(super) struct Told {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Told {
    pub(super) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A part of an answer; null where there is none.
pub(super) fn at<'a>(value: &'a Value, name: &str) -> &'a Value {
    value.get(name).unwrap_or(&Value::Null)
}

pub(super) struct Client {
    at: At,
    agent: Agent,
    until: Instant,
    request: String,
}

/// Part of a path: pairs behind a question mark.
pub(super) fn query(path: &str, pairs: &[(&str, Option<String>)]) -> String {
    let given: Vec<_> = pairs
        .iter()
        .filter_map(|(name, value)| Some((name, value.as_ref()?)))
        .collect();
    match serde_urlencoded::to_string(given) {
        Ok(text) if !text.is_empty() => format!("{path}?{text}"),
        _ => path.to_owned(),
    }
}

impl Client {
    pub(super) fn new(at: &At) -> Result<Self, String> {
        let within =
            Duration::try_from_secs_f64(at.within).map_err(|e| format!("--within: {e}"))?;
        let mut client = Client {
            agent: Agent::new_with_defaults(),
            until: Instant::now() + within,
            request: at.request_id.clone().unwrap_or_else(new_request_id),
            at: at.clone(),
        };
        client.patient(within);
        Ok(client)
    }

    /// Begins another call, under an id of its own.
    pub(super) fn patient(&mut self, within: Duration) {
        self.until = Instant::now() + within;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_secs(1)))
            .timeout_global(Some(within + Duration::from_secs(1)))
            .build();
        self.agent = config.new_agent();
    }

    pub(super) fn once(
        &self,
        at: SocketAddr,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<Told, String> {
        let left = self
            .until
            .saturating_duration_since(Instant::now())
            .as_millis()
            .max(100);
        let mark = if path.contains('?') { '&' } else { '?' };
        let request = Request::builder()
            .method(method.clone())
            .uri(format!("http://{at}{path}{mark}within_ms={left}"))
            .header("request-id", &self.request)
            .header("operator", &self.at.operator)
            .body(body.to_vec())
            .map_err(|e| e.to_string())?;
        let mut reply = self.agent.run(request).map_err(|e| e.to_string())?;
        let body = reply
            .body_mut()
            .with_config()
            .limit(LONGEST)
            .read_to_vec()
            .map_err(|e| e.to_string())?;
        Ok(Told {
            status: reply.status().as_u16(),
            body,
        })
    }

    /// Asks one member after the other until one has an answer: each under the same id, so that nothing is done twice.
    pub(super) fn call(&self, method: &Method, path: &str, body: &[u8]) -> Result<Told, String> {
        let mut last = "no address".to_owned();
        loop {
            for at in &self.at.at {
                match self.once(*at, method, path, body) {
                    // It can't tell, or it is cut off: another one may.
                    Ok(told) if matches!(told.status, 503 | 504) => {
                        last = format!("{at}: {}", detail(&told));
                    }
                    Ok(told) if told.status < 300 => return Ok(told),
                    Ok(told) => return Err(format!("{} ({})", detail(&told), told.status)),
                    Err(e) => last = format!("{at}: {e}"),
                }
            }
            if Instant::now() >= self.until {
                let id = &self.request;
                let again = if *method == Method::GET {
                    String::new()
                } else {
                    format!("; it may still come to be: --request-id {id} asks for the same again")
                };
                return Err(format!("nobody had an answer: {last}{again}"));
            }
            std::thread::sleep(PAUSE);
        }
    }

    pub(super) fn get(&self, path: &str) -> Result<Told, String> {
        self.call(&Method::GET, path, &[])
    }

    pub(super) fn step(&self, step: &MembershipStep) -> Result<Told, String> {
        let body = serde_json::to_vec(step).map_err(|e| e.to_string())?;
        self.call(&Method::POST, "/v1/cluster/members", &body)
    }
}

pub(super) fn detail(told: &Told) -> String {
    let json = told.json();
    at(&json, "detail").as_str().map_or_else(
        || String::from_utf8_lossy(&told.body).into_owned(),
        str::to_owned,
    )
}

/// Writes to standard output; a reader that has gone is no failure.
pub(super) fn print(bytes: &[u8]) -> bool {
    let mut out = std::io::stdout().lock();
    out.write_all(bytes).and_then(|()| out.flush()).is_ok()
}

pub(super) fn shown(value: &Value) -> String {
    at(value, "value").as_str().map_or_else(
        || {
            format!(
                "base64:{}",
                at(value, "value_base64").as_str().unwrap_or_default()
            )
        },
        str::to_owned,
    )
}

//! What a call says: its query, and the bodies that are read.

use std::collections::HashMap;
use std::time::Duration;

use base64::prelude::{Engine as _, BASE64_STANDARD};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use serde_json::{json, Value};
use violetgate_replicated_state::{Condition, Mutation, Revision};

use super::super::shared_config;
use super::http::{bad, problem};
use crate::http_error::HttpError;

/// The time that a call has unless it says otherwise, and the most that it may say.
const WITHIN: Duration = Duration::from_secs(5);
pub(super) const LONGEST: Duration = Duration::from_secs(60);
/// Entries and changes of a page unless the call says otherwise, and the most.
const PAGE: usize = 100;
const LONGEST_PAGE: usize = 1_000;

/// What a call asks, beside its method and path.
pub(super) struct ApiCall {
    pub query: Query,
    pub body: Vec<u8>,
    /// The request's id; the same again gets the same outcome.
    pub id: Option<String>,
    pub who: String,
    pub within: Duration,
}

/// A value as JSON: as text where it is text.
pub(super) fn value(bytes: &[u8]) -> (&'static str, Value) {
    match std::str::from_utf8(bytes) {
        Ok(text) => ("value", text.into()),
        Err(_) => ("value_base64", BASE64_STANDARD.encode(bytes).into()),
    }
}

pub(super) fn entry(key: &str, revision: Revision, bytes: &[u8]) -> Value {
    let (name, value) = value(bytes);
    json!({"key": key, "revision": revision, name: value})
}

/// A condition of a transaction, as a client writes it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CheckBody {
    key: String,
    changed: Option<Revision>,
    holds: Option<String>,
    holds_base64: Option<String>,
}

/// A change of a transaction, as a client writes it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChangeBody {
    put: Option<String>,
    delete: Option<String>,
    value: Option<String>,
    value_base64: Option<String>,
    lease: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
#[derive(Default)]
pub(super) struct TransactionBody {
    pub checks: Vec<CheckBody>,
    pub then: Vec<ChangeBody>,
    pub otherwise: Vec<ChangeBody>,
}

fn bytes(text: Option<String>, base64: Option<String>) -> Result<Vec<u8>, HttpError> {
    match (text, base64) {
        (Some(text), None) => Ok(text.into_bytes()),
        (None, Some(text)) => BASE64_STANDARD
            .decode(text)
            .map_err(|e| bad(format!("no base64: {e}"))),
        _ => Err(bad("one value has to be given, as text or in base64")),
    }
}

/// Keys that have a meaning are changed by calls that check it.
pub(super) fn free(key: String) -> Result<String, HttpError> {
    if shared_config::RESERVED.iter().any(|r| key.starts_with(r)) {
        let detail = format!("`{key}` has a meaning of its own, and is changed by its own call");
        return Err(problem(StatusCode::FORBIDDEN, "reserved", detail));
    }
    Ok(key)
}

impl CheckBody {
    pub(super) fn read(self) -> Result<Condition, HttpError> {
        match self.changed {
            Some(revision) if self.holds.is_none() && self.holds_base64.is_none() => {
                Ok(Condition::RevisionIs(self.key, revision))
            }
            Some(_) => Err(bad("a check names `changed`, or what the key holds")),
            None => Ok(Condition::ValueIs(
                self.key,
                bytes(self.holds, self.holds_base64)?,
            )),
        }
    }
}

impl ChangeBody {
    pub(super) fn read(self) -> Result<Mutation, HttpError> {
        match (self.put, self.delete) {
            (Some(key), None) => {
                let value = bytes(self.value, self.value_base64)?;
                Ok(Mutation::Put {
                    key: free(key)?,
                    value,
                    lease: self.lease,
                })
            }
            (None, Some(key)) => Ok(Mutation::Delete(free(key)?)),
            _ => Err(bad("a change has either `put` or `delete`")),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LeaseBody {
    pub id: u64,
    pub ttl_ms: u64,
}

/// What stands behind the question mark.
pub(super) struct Query(HashMap<String, String>);

impl Query {
    pub(super) fn read(request: &Request<Incoming>) -> Result<Self, HttpError> {
        let text = request.uri().query().unwrap_or_default();
        let pairs: Vec<(String, String)> =
            serde_urlencoded::from_str(text).map_err(|e| bad(format!("the query: {e}")))?;
        Ok(Query(pairs.into_iter().collect()))
    }

    /// Nothing but these may be asked: one that is misspelt would be passed over in silence.
    pub(super) fn only(&self, names: &[&str]) -> Result<(), HttpError> {
        match self
            .0
            .keys()
            .find(|k| !names.contains(&k.as_str()) && *k != "within_ms")
        {
            Some(other) => Err(bad(format!(
                "`{other}` means nothing here; known: {}",
                names.join(", ")
            ))),
            None => Ok(()),
        }
    }

    pub(super) fn text(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    pub(super) fn needed(&self, name: &str) -> Result<String, HttpError> {
        self.text(name)
            .map(str::to_owned)
            .ok_or_else(|| bad(format!("`{name}` is missing")))
    }

    pub(super) fn number(&self, name: &str) -> Result<Option<u64>, HttpError> {
        let read = |t: &str| {
            t.parse()
                .map_err(|_| bad(format!("`{name}` has to be a whole number")))
        };
        self.text(name).map(read).transpose()
    }

    pub(super) fn limit(&self) -> Result<usize, HttpError> {
        Ok(self
            .number("limit")?
            .map_or(PAGE, |n| n as usize)
            .clamp(1, LONGEST_PAGE))
    }

    pub(super) fn within(&self) -> Result<Duration, HttpError> {
        Ok(self
            .number("within_ms")?
            .map_or(WITHIN, Duration::from_millis)
            .min(LONGEST))
    }
}

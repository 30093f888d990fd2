//! Parses the JSON bodies of calls and formats store entries as JSON.

use base64::prelude::{Engine as _, BASE64_STANDARD};
use hyper::StatusCode;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::{json, Value};
use violetgate_replicated_state::{Condition, Mutation, Revision, Txn};

use super::super::shared_config::RESERVED_PREFIXES;
use super::responses::invalid_request;
use crate::http_error::HttpError;

/// A value and the JSON key under which an answer contains it.
pub(super) struct JsonValue {
    pub key: &'static str,
    pub value: Value,
}

impl JsonValue {
    /// Represents bytes as text if they are valid UTF-8, otherwise in base64.
    pub(super) fn from_bytes(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => JsonValue {
                key: "value",
                value: text.into(),
            },
            Err(_) => JsonValue {
                key: "value_base64",
                value: BASE64_STANDARD.encode(bytes).into(),
            },
        }
    }
}

/// Formats an entry of the store.
pub(super) fn entry_json(key: &str, revision: Revision, bytes: &[u8]) -> Value {
    let value = JsonValue::from_bytes(bytes);
    json!({"key": key, "revision": revision, value.key: value.value})
}

/// Parses a JSON body.
pub(super) fn read_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpError> {
    serde_json::from_slice(body).map_err(|error| invalid_request(format!("the body: {error}")))
}

/// Checks that a key is not reserved. Reserved keys are changed only by calls that validate the
/// values.
pub(super) fn check_not_reserved(key: &str) -> Result<(), HttpError> {
    let is_reserved = RESERVED_PREFIXES
        .iter()
        .any(|prefix| key.starts_with(prefix));
    if is_reserved {
        let detail = format!("`{key}` has a meaning of its own, and is changed by its own call");
        return Err(HttpError::new(StatusCode::FORBIDDEN, "reserved", detail));
    }
    Ok(())
}

/// The JSON form of a transaction's condition.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ConditionBody {
    key: String,
    changed: Option<Revision>,
    holds: Option<String>,
    holds_base64: Option<String>,
}

/// The JSON form of a transaction's mutation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MutationBody {
    put: Option<String>,
    delete: Option<String>,
    value: Option<String>,
    value_base64: Option<String>,
    lease: Option<u64>,
}

/// The JSON form of a transaction.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub(super) struct TransactionBody {
    checks: Vec<ConditionBody>,
    then: Vec<MutationBody>,
    otherwise: Vec<MutationBody>,
}

/// The JSON form of a lease to be granted.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LeaseBody {
    pub id: u64,
    pub ttl_ms: u64,
}

fn value_bytes(text: Option<String>, base64: Option<String>) -> Result<Vec<u8>, HttpError> {
    match (text, base64) {
        (Some(text), None) => Ok(text.into_bytes()),
        (None, Some(text)) => BASE64_STANDARD
            .decode(text)
            .map_err(|error| invalid_request(format!("no base64: {error}"))),
        _ => Err(invalid_request(
            "one value has to be given, as text or in base64",
        )),
    }
}

impl ConditionBody {
    fn into_condition(self) -> Result<Condition, HttpError> {
        match self.changed {
            Some(revision) if self.holds.is_none() && self.holds_base64.is_none() => {
                Ok(Condition::RevisionIs(self.key, revision))
            }
            Some(_) => Err(invalid_request(
                "a check names `changed`, or what the key holds",
            )),
            None => {
                let value = value_bytes(self.holds, self.holds_base64)?;
                Ok(Condition::ValueIs(self.key, value))
            }
        }
    }
}

impl MutationBody {
    fn into_mutation(self) -> Result<Mutation, HttpError> {
        match (self.put, self.delete) {
            (Some(key), None) => {
                let value = value_bytes(self.value, self.value_base64)?;
                check_not_reserved(&key)?;
                Ok(Mutation::Put {
                    key,
                    value,
                    lease: self.lease,
                })
            }
            (None, Some(key)) => {
                check_not_reserved(&key)?;
                Ok(Mutation::Delete(key))
            }
            _ => Err(invalid_request("a change has either `put` or `delete`")),
        }
    }
}

impl TransactionBody {
    pub(super) fn into_transaction(self) -> Result<Txn, HttpError> {
        let checks = self.checks.into_iter();
        Ok(Txn {
            conditions: checks
                .map(ConditionBody::into_condition)
                .collect::<Result<_, _>>()?,
            then: into_mutations(self.then)?,
            otherwise: into_mutations(self.otherwise)?,
        })
    }
}

fn into_mutations(bodies: Vec<MutationBody>) -> Result<Vec<Mutation>, HttpError> {
    bodies
        .into_iter()
        .map(MutationBody::into_mutation)
        .collect()
}

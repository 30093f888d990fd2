//! Calls that read and change the entries of the store, its leases and its history.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use hyper::header::HeaderValue;
use hyper::StatusCode;
use serde_json::{json, Value};
use violetgate_replicated_state::{Condition, CurrentValue, Mutation, Operation, Store, Txn};

use super::bodies::{check_not_reserved, entry_json, read_json, JsonValue};
use super::bodies::{LeaseBody, TransactionBody};
use super::query::{Query, MAX_TIMEOUT};
use super::responses::{json_reply, reply, revision_reply, ReplyResult};
use super::router::{commit_reply, Api, ApiCall};
use crate::http_error::HttpError;

const MICROS_PER_MS: u64 = 1_000;

impl Api {
    /// Returns one entry, or a page of entries.
    pub(super) async fn read_state(&self, call: &ApiCall) -> ReplyResult {
        let query = &call.query;
        query.allow_only(&["key", "prefix", "limit", "revision", "after", "stale"])?;
        let limit = query.page_length()?;
        let revision = query.number("revision")?;
        self.wait_until_current(call).await?;
        self.member.runtime.store(|store| match query.text("key") {
            Some(key) => read_entry(store, key),
            None => list_entries(store, query, revision, limit),
        })
    }

    /// Sets a key to the body of the call.
    pub(super) async fn put_key(&self, call: &ApiCall) -> ReplyResult {
        self.change_key(call, |key, lease| Mutation::Put {
            key,
            value: call.body.clone(),
            lease,
        })
        .await
    }

    /// Deletes the key that the call names.
    pub(super) async fn delete_key(&self, call: &ApiCall) -> ReplyResult {
        self.change_key(call, |key, _| Mutation::Delete(key)).await
    }

    async fn change_key(
        &self,
        call: &ApiCall,
        mutation: impl Fn(String, Option<u64>) -> Mutation,
    ) -> ReplyResult {
        call.query.allow_only(&["key", "if_revision", "lease"])?;
        let key = call.query.required_text("key")?;
        check_not_reserved(key)?;
        let expected = call.query.number("if_revision")?;
        let condition = expected.map(|revision| Condition::RevisionIs(key.to_owned(), revision));
        let lease = call.query.number("lease")?;
        let transaction = Txn {
            conditions: condition.into_iter().collect(),
            then: vec![mutation(key.to_owned(), lease)],
            ..Txn::default()
        };
        commit_reply(self.commit(call, transaction).await?)
    }

    /// Commits the transaction in the body of the call, in JSON.
    pub(super) async fn transact(&self, call: &ApiCall) -> ReplyResult {
        call.query.allow_only(&[])?;
        let body: TransactionBody = read_json(&call.body)?;
        let commit = self.commit(call, body.into_transaction()?).await?;
        let (revision, held) = (commit.revision, commit.conditions_held);
        Ok(json_reply(&json!({"revision": revision, "held": held})))
    }

    /// Returns the changes after a revision. If there are none, waits for them for the time that
    /// the call states, at most [`MAX_TIMEOUT`].
    pub(super) async fn changes(&self, call: &ApiCall) -> ReplyResult {
        let query = &call.query;
        query.allow_only(&["after", "prefix", "limit", "wait_ms"])?;
        let runtime = &self.member.runtime;
        let prefix = query.text("prefix").unwrap_or_default();
        let limit = query.page_length()?;
        let after = match query.number("after")? {
            Some(after) => after,
            None => runtime.store(Store::revision),
        };
        let wait = Duration::from_millis(query.number("wait_ms")?.unwrap_or(0));
        let deadline = Instant::now() + wait.min(MAX_TIMEOUT);
        loop {
            let applied = runtime.status().applied;
            let page = runtime.store(|store| read_changes(store, after, prefix, limit))?;
            let time_left = deadline.saturating_duration_since(Instant::now());
            if !page.changes.is_empty() || time_left.is_zero() {
                let (revision, changes) = (page.revision, page.changes);
                let body = json!({"revision": revision, "changes": changes});
                return Ok(json_reply(&body));
            }
            let timed_out = async {
                Timer::after(time_left).await;
            };
            runtime.wait_for_apply(applied).or(timed_out).await;
        }
    }

    /// Compacts the history up to the given revision.
    pub(super) async fn compact(&self, call: &ApiCall) -> ReplyResult {
        call.query.allow_only(&["revision"])?;
        let revision = call.query.required_number("revision")?;
        self.propose(call, Operation::Compact(revision)).await
    }

    /// Grants or renews a lease.
    pub(super) async fn grant_lease(&self, call: &ApiCall) -> ReplyResult {
        call.query.allow_only(&[])?;
        let LeaseBody { id, ttl_ms } = read_json(&call.body)?;
        let ttl = ttl_ms.saturating_mul(MICROS_PER_MS);
        self.propose(call, Operation::GrantLease { id, ttl }).await
    }

    /// Revokes the lease whose id the call states.
    pub(super) async fn release_lease(&self, call: &ApiCall) -> ReplyResult {
        call.query.allow_only(&["id"])?;
        let id = call.query.required_number("id")?;
        self.propose(call, Operation::RevokeLease(id)).await
    }

    async fn propose(&self, call: &ApiCall, operation: Operation) -> ReplyResult {
        let request_id = call.request_id.clone();
        let commit = self
            .member
            .propose(request_id, &call.operator, operation, call.timeout)
            .await?;
        Ok(revision_reply(commit.revision))
    }

    /// Returns the complete state, in the file format of `violetgate ctl snapshot save`.
    pub(super) async fn snapshot(&self, call: &ApiCall) -> ReplyResult {
        call.query.allow_only(&["stale"])?;
        self.wait_until_current(call).await?;
        let mut reply = reply("application/octet-stream", self.member.runtime.save());
        let revision = HeaderValue::from(self.member.status().revision);
        reply.headers_mut().insert("state-revision", revision);
        Ok(reply)
    }
}

fn read_entry(store: &Store, key: &str) -> ReplyResult {
    let entry = store.get(key).ok_or_else(|| {
        let detail = format!("there is no `{key}`");
        HttpError::new(StatusCode::NOT_FOUND, "no-such-key", detail)
    });
    let CurrentValue { revision, value } = entry?;
    Ok(json_reply(&entry_json(key, revision, value)))
}

/// Returns a page of entries and the path of the next page, which reads the same revision.
fn list_entries(store: &Store, query: &Query, revision: Option<u64>, limit: usize) -> ReplyResult {
    let prefix = query.text("prefix").unwrap_or_default();
    let listing = store.list(prefix, revision, query.text("after"), limit)?;
    let entries: Vec<_> = listing
        .entries
        .iter()
        .map(|entry| entry_json(&entry.key, entry.revision, &entry.value))
        .collect();
    let next = listing.next.map(|after| {
        let pairs = [
            ("prefix", prefix.to_owned()),
            ("limit", limit.to_string()),
            ("revision", listing.revision.to_string()),
            ("after", after),
        ];
        let query = serde_urlencoded::to_string(pairs).unwrap_or_default();
        format!("/v1/state?{query}")
    });
    Ok(json_reply(
        &json!({"revision": listing.revision, "entries": entries, "next": next}),
    ))
}

/// A page of changes, and the revision after which the next page begins.
struct ChangesPage {
    revision: u64,
    changes: Vec<Value>,
}

fn read_changes(
    store: &Store,
    after: u64,
    prefix: &str,
    limit: usize,
) -> Result<ChangesPage, HttpError> {
    let changes = store.changes(after, prefix, limit)?;
    let current = store.revision();
    // After a full page, the next one begins after the revision of the last change.
    let revision = match changes.last() {
        Some(last) if changes.len() >= limit => last.revision,
        _ => current.max(after),
    };
    let changes = changes.iter().map(|change| {
        let deleted = JsonValue {
            key: "deleted",
            value: true.into(),
        };
        let value = change.value.as_ref();
        let value = value.map_or(deleted, |value| JsonValue::from_bytes(value));
        json!({"revision": change.revision, "key": change.key, value.key: value.value,
               "who": change.actor, "time_us": change.time})
    });
    Ok(ChangesPage {
        revision,
        changes: changes.collect(),
    })
}

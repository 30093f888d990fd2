//! Calls that read and change entries.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use hyper::header::HeaderValue;
use hyper::StatusCode;
use serde_json::json;
use violetgate_replicated_state::{Condition, CurrentValue, Mutation, Operation, Txn};

use super::http::{bad, problem, reply, told, Answering};
use super::query::{
    entry, free, value, ApiCall, ChangeBody, CheckBody, LeaseBody, TransactionBody, LONGEST,
};
use super::Api;

impl Api {
    pub(super) async fn state(&self, call: &ApiCall) -> Answering {
        let query = &call.query;
        query.only(&["key", "prefix", "limit", "revision", "after", "stale"])?;
        let limit = query.limit()?;
        let at = query.number("revision")?;
        self.current(call).await?;
        self.daemon.cluster.store(|store| {
            if let Some(key) = query.text("key") {
                let CurrentValue { revision, value } = store.get(key).ok_or_else(|| {
                    problem(
                        StatusCode::NOT_FOUND,
                        "no-such-key",
                        format!("there is no `{key}`"),
                    )
                })?;
                return Ok(told(&entry(key, revision, value)));
            }
            let prefix = query.text("prefix").unwrap_or_default();
            let listing = store.list(prefix, at, query.text("after"), limit)?;
            let entries: Vec<_> = listing
                .entries
                .iter()
                .map(|e| entry(&e.key, e.revision, &e.value))
                .collect();
            let next = listing.next.map(|after| {
                let pairs = [
                    ("prefix", prefix.to_owned()),
                    ("limit", limit.to_string()),
                    ("revision", listing.revision.to_string()),
                    ("after", after),
                ];
                format!(
                    "/v1/state?{}",
                    serde_urlencoded::to_string(pairs).unwrap_or_default()
                )
            });
            Ok(told(
                &json!({"revision": listing.revision, "entries": entries, "next": next}),
            ))
        })
    }

    pub(super) async fn put(&self, call: &ApiCall, sets: bool) -> Answering {
        call.query.only(&["key", "if_revision", "lease"])?;
        let key = free(call.query.needed("key")?)?;
        let checks = call
            .query
            .number("if_revision")?
            .map(|r| Condition::RevisionIs(key.clone(), r))
            .into_iter()
            .collect();
        let lease = call.query.number("lease")?;
        let op = if sets {
            Mutation::Put {
                key,
                value: call.body.clone(),
                lease,
            }
        } else {
            Mutation::Delete(key)
        };
        Self::held(
            self.agree(
                call,
                Txn {
                    conditions: checks,
                    then: vec![op],
                    ..Txn::default()
                },
            )
            .await?,
        )
    }

    pub(super) async fn transact(&self, call: &ApiCall) -> Answering {
        call.query.only(&[])?;
        let asked: TransactionBody =
            serde_json::from_slice(&call.body).map_err(|e| bad(format!("the body: {e}")))?;
        let ops = |ops: Vec<ChangeBody>| {
            ops.into_iter()
                .map(ChangeBody::read)
                .collect::<Result<Vec<_>, _>>()
        };
        let txn = Txn {
            conditions: asked
                .checks
                .into_iter()
                .map(CheckBody::read)
                .collect::<Result<_, _>>()?,
            then: ops(asked.then)?,
            otherwise: ops(asked.otherwise)?,
        };
        let (revision, held) = self.agree(call, txn).await?;
        Ok(told(&json!({"revision": revision, "held": held})))
    }

    /// Changes after a revision; with none, they are waited for.
    pub(super) async fn changes(&self, call: &ApiCall) -> Answering {
        let query = &call.query;
        query.only(&["after", "prefix", "limit", "wait_ms"])?;
        let cluster = &self.daemon.cluster;
        let prefix = query.text("prefix").unwrap_or_default();
        let limit = query.limit()?;
        let after = match query.number("after")? {
            Some(after) => after,
            None => cluster.store(|s| s.revision()),
        };
        let until = Instant::now()
            + Duration::from_millis(query.number("wait_ms")?.unwrap_or(0)).min(LONGEST);
        loop {
            let applied = cluster.status().applied;
            let (changes, now) = cluster.store(|s| (s.changes(after, prefix, limit), s.revision()));
            let changes = changes?;
            let left = until.saturating_duration_since(Instant::now());
            if changes.is_empty() && !left.is_zero() {
                let late = async {
                    Timer::after(left).await;
                };
                cluster.wait_for_apply(applied).or(late).await;
                continue;
            }
            // Where a page ends in the middle, the next one begins at its last revision.
            let full = changes.len() >= limit;
            let to = if full {
                changes.last().map_or(now, |c| c.revision)
            } else {
                now.max(after)
            };
            let changes: Vec<_> = changes
                .iter()
                .map(|c| {
                    let (name, value) = c.value.as_ref().map_or(("deleted", true.into()), |v| value(v));
                    json!({"revision": c.revision, "key": c.key, name: value, "who": c.actor, "time_us": c.time})
                })
                .collect();
            return Ok(told(&json!({"revision": to, "changes": changes})));
        }
    }

    pub(super) async fn compact(&self, call: &ApiCall) -> Answering {
        call.query.only(&["revision"])?;
        let to = call
            .query
            .number("revision")?
            .ok_or_else(|| bad("`revision` is missing"))?;
        self.step(call, Operation::Compact(to)).await
    }

    pub(super) async fn lease(&self, call: &ApiCall) -> Answering {
        call.query.only(&[])?;
        let asked: LeaseBody =
            serde_json::from_slice(&call.body).map_err(|e| bad(format!("the body: {e}")))?;
        self.step(
            call,
            Operation::GrantLease {
                id: asked.id,
                ttl: asked.ttl_ms.saturating_mul(1000),
            },
        )
        .await
    }

    pub(super) async fn release(&self, call: &ApiCall) -> Answering {
        call.query.only(&["id"])?;
        let id = call
            .query
            .number("id")?
            .ok_or_else(|| bad("`id` is missing"))?;
        self.step(call, Operation::RevokeLease(id)).await
    }

    pub(super) async fn snapshot(&self, call: &ApiCall) -> Answering {
        call.query.only(&["stale"])?;
        self.current(call).await?;
        let mut reply = reply(
            StatusCode::OK,
            "application/octet-stream",
            self.daemon.cluster.save(),
        );
        let revision = self.daemon.status().revision;
        reply
            .headers_mut()
            .insert("state-revision", HeaderValue::from(revision));
        Ok(reply)
    }
}

//! Calls about the agreed settings.

use hyper::header::HeaderValue;
use hyper::StatusCode;
use serde_json::json;
use violetgate_replicated_state::Outcome;

use super::super::shared_config::{self, SettingsRejection};
use super::super::CommitError;
use super::http::{bad, reply, told, Answering};
use super::query::ApiCall;
use super::Api;

impl Api {
    pub(super) async fn settings(&self, call: &ApiCall) -> Answering {
        call.query.only(&["version", "stale"])?;
        let asked = call.query.number("version")?;
        self.current(call).await?;
        let current = self.daemon.state.view().settings.clone();
        let (version, text) = match asked {
            None => current.unwrap_or_default(),
            Some(v) => {
                let text = self.daemon.cluster.store(|s| shared_config::version(s, v));
                (v, text.ok_or(SettingsRejection::Unknown)?)
            }
        };
        let mut reply = reply(
            StatusCode::OK,
            "text/plain; charset=utf-8",
            text.into_bytes(),
        );
        reply
            .headers_mut()
            .insert("settings-version", HeaderValue::from(version));
        Ok(reply)
    }

    /// Settings, or those of an earlier version, come to hold.
    pub(super) async fn change_settings(&self, call: &ApiCall, back_to: Option<u64>) -> Answering {
        // What an earlier try has already brought about is not looked at anew: its outcome is told.
        self.current(call).await?;
        let cluster = &self.daemon.cluster;
        let done = call
            .id
            .as_ref()
            .and_then(|id| cluster.store(|s| s.outcome(id).cloned()));
        let (revision, held) = match done {
            Some(Outcome::Applied {
                revision,
                conditions_held: held,
            }) => (revision, held),
            Some(Outcome::Rejected(why)) => return Err(CommitError::Refused(why).into()),
            None => {
                let (_, txn) = match back_to {
                    Some(version) => cluster.store(|s| shared_config::roll_back(s, version))?,
                    None => {
                        call.query.only(&["expect"])?;
                        let expect = call.query.number("expect")?;
                        let text = std::str::from_utf8(&call.body)
                            .map_err(|_| bad("the body is no text"))?;
                        cluster.store(|s| shared_config::settings(s, text, expect))?
                    }
                };
                self.agree(call, txn).await?
            }
        };
        if !held {
            let now = cluster.store(shared_config::current_version);
            return Err(SettingsRejection::Replaced(now).into());
        }
        // Where this member only passed it on, it may not have it yet.
        self.current(call).await?;
        let version = cluster.store(|s| shared_config::version_of(s, revision));
        Ok(told(&json!({"revision": revision, "version": version})))
    }

    pub(super) async fn versions(&self, call: &ApiCall) -> Answering {
        call.query.only(&["stale"])?;
        self.current(call).await?;
        let (current, kept) = self.daemon.cluster.store(|s| {
            (
                shared_config::current_version(s),
                shared_config::versions(s),
            )
        });
        let versions: Vec<_> = kept
            .iter()
            .map(|(v, r)| json!({"version": v, "revision": r}))
            .collect();
        Ok(told(&json!({"current": current, "versions": versions})))
    }
}

//! Calls that read and change the shared settings.

use hyper::header::HeaderValue;
use serde_json::json;
use violetgate_replicated_state::{Outcome, Store, Txn};

use super::super::error::CommitError;
use super::super::member::Commit;
use super::super::shared_config::settings_versions::{self, SettingsRejection};
use super::responses::{invalid_request, json_reply, reply, ReplyResult};
use super::router::{Api, ApiCall};
use crate::http_error::HttpError;

impl Api {
    /// Returns the settings in force, or those of an earlier version.
    pub(super) async fn read_settings(&self, call: &ApiCall) -> ReplyResult {
        call.query.allow_only(&["version", "stale"])?;
        let version = call.query.number("version")?;
        self.wait_until_current(call).await?;
        let (number, text) = match version {
            None => {
                let in_force = self.member.reconciler.config().settings.clone();
                let in_force = in_force.unwrap_or_default();
                (in_force.number, in_force.text)
            }
            Some(number) => {
                let text = |store: &Store| settings_versions::text(store, number);
                let text = self.member.runtime.store(text);
                (number, text.ok_or(SettingsRejection::UnknownVersion)?)
            }
        };
        let mut reply = reply("text/plain; charset=utf-8", text.into_bytes());
        let version = HeaderValue::from(number);
        reply.headers_mut().insert("settings-version", version);
        Ok(reply)
    }

    /// Puts new settings in force as a new version.
    pub(super) async fn apply_settings(&self, call: &ApiCall) -> ReplyResult {
        self.change_settings(call, |store| {
            call.query.allow_only(&["expect"])?;
            let expected = call.query.number("expect")?;
            let text = std::str::from_utf8(&call.body)
                .map_err(|_| invalid_request("the body is no text"))?;
            Ok(settings_versions::propose(store, text, expected)?.1)
        })
        .await
    }

    /// Puts the settings of an earlier version in force again, as a new version.
    pub(super) async fn roll_back_settings(&self, call: &ApiCall) -> ReplyResult {
        call.query.allow_only(&["version"])?;
        let version = call.query.required_number("version")?;
        self.change_settings(call, |store| {
            Ok(settings_versions::roll_back(store, version)?.1)
        })
        .await
    }

    async fn change_settings(
        &self,
        call: &ApiCall,
        propose: impl Fn(&Store) -> Result<Txn, HttpError>,
    ) -> ReplyResult {
        self.wait_until_current(call).await?;
        let runtime = &self.member.runtime;
        // If an earlier call with the same request id has an outcome, that outcome is used and
        // nothing is proposed.
        let commit = match self.earlier_outcome(call) {
            Some(Outcome::Applied {
                revision,
                conditions_held,
            }) => Commit {
                revision,
                conditions_held,
            },
            Some(Outcome::Rejected(error)) => {
                return Err(CommitError::CommandRejected(error).into());
            }
            None => {
                let transaction = runtime.store(propose)?;
                self.commit(call, transaction).await?
            }
        };
        if !commit.conditions_held {
            let current = runtime.store(settings_versions::current_number);
            return Err(SettingsRejection::VersionConflict { current }.into());
        }
        // If this member only forwarded the change to the leader, its copy may be behind.
        self.wait_until_current(call).await?;
        let revision = commit.revision;
        let version = runtime.store(|store| settings_versions::version_created_by(store, revision));
        Ok(json_reply(
            &json!({"revision": revision, "version": version}),
        ))
    }

    fn earlier_outcome(&self, call: &ApiCall) -> Option<Outcome> {
        let id = call.request_id.as_ref()?;
        let outcome = |store: &Store| store.outcome(id).cloned();
        self.member.runtime.store(outcome)
    }

    /// Returns the current version and the retained ones.
    pub(super) async fn settings_versions(&self, call: &ApiCall) -> ReplyResult {
        call.query.allow_only(&["stale"])?;
        self.wait_until_current(call).await?;
        let runtime = &self.member.runtime;
        let current = runtime.store(settings_versions::current_number);
        let retained = runtime.store(settings_versions::retained);
        let versions: Vec<_> = retained
            .iter()
            .map(|version| json!({"version": version.number, "revision": version.revision}))
            .collect();
        Ok(json_reply(
            &json!({"current": current, "versions": versions}),
        ))
    }
}

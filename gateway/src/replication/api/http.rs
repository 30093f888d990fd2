//! What the API's answers are made of, and the timers that hyper is given.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_io::Timer;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderValue, CACHE_CONTROL, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use serde_json::Value;
use violetgate_raft::ProposalError;
use violetgate_replicated_state::{CommandError, Compacted};

use super::super::shared_config::SettingsRejection;
use super::super::CommitError;
use crate::http_error::HttpError;

pub(super) type Reply = Response<Full<Bytes>>;
pub(super) type Answering = Result<Reply, HttpError>;

/// Timers for hyper, on the one reactor.
#[derive(Clone, Copy)]
pub(super) struct Timers;

struct Sleep(Timer);

impl Future for Sleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.0).poll(cx).map(|_| ())
    }
}

impl hyper::rt::Sleep for Sleep {}

impl hyper::rt::Timer for Timers {
    fn sleep(&self, span: Duration) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep(Timer::after(span)))
    }
    fn sleep_until(&self, at: Instant) -> Pin<Box<dyn hyper::rt::Sleep>> {
        Box::pin(Sleep(Timer::at(at)))
    }
}

pub(super) fn problem(
    status: StatusCode,
    kind: &'static str,
    detail: impl Into<String>,
) -> HttpError {
    HttpError::new(status, kind, detail)
}

pub(super) fn bad(detail: impl Into<String>) -> HttpError {
    problem(StatusCode::BAD_REQUEST, "invalid-request", detail)
}

pub(super) fn reply(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::from(body));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
        .headers_mut()
        .insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

pub(super) fn told(value: &Value) -> Reply {
    reply(
        StatusCode::OK,
        "application/json",
        format!("{value}\n").into_bytes(),
    )
}

impl From<CommitError> for HttpError {
    fn from(why: CommitError) -> Self {
        match why {
            CommitError::Late => problem(
                StatusCode::GATEWAY_TIMEOUT,
                "outcome-unknown",
                "not agreed on in its time; it may still come to be: ask again under the same Request-Id",
            ),
            CommitError::Refused(CommandError::TooLarge) => problem(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too-large",
                "a key, a value or the transaction is too large",
            ),
            CommitError::Refused(CommandError::StoreFull) => {
                problem(StatusCode::INSUFFICIENT_STORAGE, "store-full", "the store is full")
            }
            CommitError::Refused(CommandError::UnknownLease(id)) => {
                problem(StatusCode::NOT_FOUND, "no-such-lease", format!("there is no lease {id}"))
            }
            CommitError::Refused(CommandError::FutureRevision) => bad("there is no such revision yet"),
            CommitError::NotAMember => problem(
                StatusCode::CONFLICT,
                "not-a-member",
                "this front end subscribes: have it agreed on at a member's API",
            ),
            CommitError::Rejected(why) => {
                let detail = match why {
                    ProposalError::IdAlreadyUsed => "this id was given before; ids are never used twice",
                    ProposalError::UnknownMember => "there is no such member, or it is not of that kind",
                    ProposalError::LearnerBehind => "it has not caught up yet; try again",
                    ProposalError::LastVoter => "the last voter can't leave",
                    ProposalError::NotLeader | ProposalError::ChangeInProgress | ProposalError::Busy => "not now; try again",
                };
                problem(StatusCode::CONFLICT, "rejected", detail)
            }
        }
    }
}

impl From<SettingsRejection> for HttpError {
    fn from(why: SettingsRejection) -> Self {
        match why {
            SettingsRejection::Problems(problems) => {
                let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
                problem(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "settings-invalid",
                    lines.join("; "),
                )
            }
            SettingsRejection::TooLong => bad("the settings are too long"),
            SettingsRejection::Replaced(now) => problem(
                StatusCode::CONFLICT,
                "settings-replaced",
                format!("version {now} holds"),
            ),
            SettingsRejection::Unknown => problem(
                StatusCode::NOT_FOUND,
                "no-such-version",
                "that version is not kept",
            ),
        }
    }
}

impl From<Compacted> for HttpError {
    fn from(gone: Compacted) -> Self {
        let detail = format!(
            "that revision is compacted away: read anew, from {} at the earliest",
            gone.first_revision
        );
        problem(StatusCode::GONE, "compacted", detail)
    }
}

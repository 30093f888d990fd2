//! Conversions from errors of the shared state to HTTP errors.

use hyper::StatusCode;
use violetgate_raft::ProposalError;
use violetgate_replicated_state::{CommandError, Compacted};

use super::super::error::CommitError;
use super::super::shared_config::SettingsRejection;
use super::responses::invalid_request;
use crate::http_error::HttpError;

impl From<CommitError> for HttpError {
    fn from(error: CommitError) -> Self {
        match error {
            CommitError::OutcomeUnknown => HttpError::new(
                StatusCode::GATEWAY_TIMEOUT,
                "outcome-unknown",
                "not agreed on in its time; it may still come to be: ask again under the same Request-Id",
            ),
            CommitError::CommandRejected(error) => command_error(&error),
            CommitError::NotAMember => HttpError::new(
                StatusCode::CONFLICT,
                "not-a-member",
                "this front end subscribes: have it agreed on at a member's API",
            ),
            CommitError::ProposalRejected(error) => {
                HttpError::new(StatusCode::CONFLICT, "rejected", proposal_error_text(&error))
            }
        }
    }
}

fn command_error(error: &CommandError) -> HttpError {
    match error {
        CommandError::TooLarge => HttpError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too-large",
            "a key, a value or the transaction is too large",
        ),
        CommandError::StoreFull => HttpError::new(
            StatusCode::INSUFFICIENT_STORAGE,
            "store-full",
            "the store is full",
        ),
        CommandError::UnknownLease(id) => HttpError::new(
            StatusCode::NOT_FOUND,
            "no-such-lease",
            format!("there is no lease {id}"),
        ),
        CommandError::FutureRevision => invalid_request("there is no such revision yet"),
    }
}

fn proposal_error_text(error: &ProposalError) -> &'static str {
    match error {
        ProposalError::IdAlreadyUsed => "this id was given before; ids are never used twice",
        ProposalError::UnknownMember => "there is no such member, or it is not of that kind",
        ProposalError::LearnerBehind => "it has not caught up yet; try again",
        ProposalError::LastVoter => "the last voter can't leave",
        ProposalError::NotLeader | ProposalError::ChangeInProgress | ProposalError::Busy => {
            "not now; try again"
        }
    }
}

impl From<SettingsRejection> for HttpError {
    fn from(rejection: SettingsRejection) -> Self {
        match rejection {
            SettingsRejection::Invalid(errors) => {
                let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
                HttpError::new(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "settings-invalid",
                    lines.join("; "),
                )
            }
            SettingsRejection::TooLong => invalid_request("the settings are too long"),
            SettingsRejection::VersionConflict { current } => HttpError::new(
                StatusCode::CONFLICT,
                "settings-replaced",
                format!("version {current} holds"),
            ),
            SettingsRejection::UnknownVersion => HttpError::new(
                StatusCode::NOT_FOUND,
                "no-such-version",
                "that version is not kept",
            ),
        }
    }
}

impl From<Compacted> for HttpError {
    fn from(compacted: Compacted) -> Self {
        let detail = format!(
            "that revision is compacted away: read anew, from {} at the earliest",
            compacted.first_revision
        );
        HttpError::new(StatusCode::GONE, "compacted", detail)
    }
}

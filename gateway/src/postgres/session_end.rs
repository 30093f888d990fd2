//! Why a client connection ended.

use std::fmt;

/// Why a client connection ended; its text is the reason code in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SessionEnd {
    /// The client closed it with nothing open.
    Closed,
    /// The client closed it while a query was open.
    ClosedDuringQuery,
    /// It broke.
    Reset,
    /// The client sent Terminate.
    Terminated,
    /// It brought a CancelRequest.
    CancelRequest,
    /// The client took no byte of its answer for too long.
    Stalled,
    /// No complete start-up packet in time.
    StartupTimeout,
    /// A message was begun and not complete in time.
    MessageTimeout,
    /// No request for long.
    Idle,
    /// A malformed packet or message.
    ProtocolViolation,
    /// A start-up packet without a user.
    NoUser,
    /// There is no slot for it.
    TooMany,
    /// This process closed it, for this reason.
    Requested(&'static str),
}

impl SessionEnd {
    /// Whether it came from the client, which reads nothing more.
    pub(super) fn is_by_client(self) -> bool {
        matches!(
            self,
            SessionEnd::Closed
                | SessionEnd::ClosedDuringQuery
                | SessionEnd::Reset
                | SessionEnd::Terminated
                | SessionEnd::CancelRequest
                | SessionEnd::Stalled
                | SessionEnd::StartupTimeout
        )
    }
}

impl fmt::Display for SessionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SessionEnd::Closed => "closed",
            SessionEnd::ClosedDuringQuery => "client_disconnected",
            SessionEnd::Reset => "reset",
            SessionEnd::Terminated => "terminated",
            SessionEnd::CancelRequest => "cancel_request",
            SessionEnd::Stalled => "stalled",
            SessionEnd::StartupTimeout => "startup_timeout",
            SessionEnd::MessageTimeout => "message_timeout",
            SessionEnd::Idle => "idle",
            SessionEnd::ProtocolViolation => "protocol_violation",
            SessionEnd::NoUser => "no_user",
            SessionEnd::TooMany => "connection_limit",
            SessionEnd::Requested(reason) => reason,
        })
    }
}

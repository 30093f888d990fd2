//! The reasons for which a client connection ends.

use std::fmt;

/// Why a client connection ended; [`fmt::Display`] gives the reason code in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SessionEnd {
    /// The client closed the connection while no query was open.
    Closed,
    /// The client closed the connection while the session was handling a query.
    ClosedDuringQuery,
    /// Reading from or writing to the connection failed.
    Reset,
    /// The client sent Terminate.
    Terminated,
    /// The client sent a CancelRequest, which needs no further answer.
    CancelRequest,
    /// The client accepted no byte of an answer for too long.
    Stalled,
    /// The start-up packet was not complete in time.
    StartupTimeout,
    /// A message began and was not complete in time.
    MessageTimeout,
    /// The client sent no request for too long.
    Idle,
    /// The client sent a malformed packet or message.
    ProtocolViolation,
    /// The start-up packet named no user.
    NoUser,
    /// The connection limit was reached, and no other connection could be evicted.
    ConnectionLimit,
    /// This process closed the connection for the given reason.
    Requested(&'static str),
}

impl SessionEnd {
    /// Whether the client ended or abandoned the connection, or did not complete its start-up. Such
    /// a client is not expected to read anything more, so the connection is closed without
    /// lingering. After [`SessionEnd::Idle`] or [`SessionEnd::MessageTimeout`] the client may still
    /// send, and may read an answer that a reset would destroy.
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
            SessionEnd::ConnectionLimit => "connection_limit",
            SessionEnd::Requested(reason) => reason,
        })
    }
}

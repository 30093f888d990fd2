//! The reasons for which connections to engines end.

use std::fmt;

/// Why a connection to an engine ended. The `Display` form is the reason code in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The connection was idle, and was closed before the engine would close it.
    Idle,
    /// The connection was no longer to be used, for example because its engine was removed or has
    /// restarted, and no attempt was open on it.
    Retired,
    /// The connection was idle, and was closed because of the limit on connections.
    Evicted,
    /// The last open attempt was cancelled, and the connection can't be reused.
    Cancelled,
    /// The engine closed the connection.
    Closed,
    /// Reading or writing failed.
    Reset,
    /// The rest of an answer did not arrive in time.
    IncompleteAnswer,
    /// Connecting failed without being refused: the connection was reset, or the process ran out of
    /// file descriptors.
    ConnectError,
    /// Nothing listens at the engine's address.
    ConnectRefused,
    /// Connecting took too long.
    ConnectTimeout,
    /// The engine violated the protocol.
    ProtocolError,
    /// Too many commands are queued, because the engine does not read them.
    Stalled,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CloseReason::Idle => "idle",
            CloseReason::Retired => "retired",
            CloseReason::Evicted => "evicted",
            CloseReason::Cancelled => "cancelled",
            CloseReason::Closed => "closed",
            CloseReason::Reset => "reset",
            CloseReason::IncompleteAnswer => "incomplete_answer",
            CloseReason::ConnectError => "connect_error",
            CloseReason::ConnectRefused => "connect_refused",
            CloseReason::ConnectTimeout => "connect_timeout",
            CloseReason::ProtocolError => "protocol_error",
            CloseReason::Stalled => "stalled",
        })
    }
}

//! Why a connection to an engine ended.

use std::fmt;

/// Why a connection to an engine ended; its text is the reason code in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Closed here before the engine would do so.
    Idle,
    /// Its engine was removed or has restarted, and nothing was open any more.
    Retired,
    /// Idle, and closed in favour of another engine.
    Evicted,
    /// Its only query was cancelled, so nothing more may be sent on it.
    Cancelled,
    /// The engine closed it.
    Closed,
    /// It broke.
    Reset,
    /// The rest of an answer did not arrive in time.
    IncompleteAnswer,
    /// It did not come up, though nobody refused it: it was reset, or descriptors ran out.
    ConnectError,
    /// Nobody listens at the engine's address.
    ConnectRefused,
    /// It did not come up in time.
    ConnectTimeout,
    /// The engine sent what is no answer.
    ProtocolError,
    /// The engine no longer reads.
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

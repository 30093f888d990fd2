//! Why a REST connection ended.

use std::fmt;

/// Why a REST connection ended; its text is the reason code in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The client closed it.
    Closed,
    /// The client closed it while a request was open.
    ClosedDuringRequest,
    /// It broke.
    Reset,
    /// No request for long.
    Idle,
    /// The head of a request was not complete in time.
    HeadTimeout,
    /// The client took no byte of its answer for too long.
    Stalled,
    /// What was received is no HTTP.
    ProtocolViolation,
    /// There is no slot for it.
    ConnectionLimit,
    /// This process closed it, for this reason.
    Requested(&'static str),
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::ClosedDuringRequest => "client_disconnected",
            ConnectionEnd::Reset => "reset",
            ConnectionEnd::Idle => "idle",
            ConnectionEnd::HeadTimeout => "head_timeout",
            ConnectionEnd::Stalled => "stalled",
            ConnectionEnd::ProtocolViolation => "protocol_violation",
            ConnectionEnd::ConnectionLimit => "connection_limit",
            ConnectionEnd::Requested(reason) => reason,
        })
    }
}

//! The reasons for which REST connections end.

use std::fmt;

/// Why a REST connection ended. The `Display` form is the reason code in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The client closed the connection while no request was open.
    Closed,
    /// The client closed the connection while a request was open.
    ClosedDuringRequest,
    /// Reading or writing failed.
    Reset,
    /// The client sent no request within the idle timeout.
    Idle,
    /// The head of a request did not arrive completely in time.
    HeadTimeout,
    /// The client accepted no data of its answer within the write timeout.
    Stalled,
    /// The received data is not valid HTTP.
    ProtocolViolation,
    /// The connection limit was reached, and no connection could be evicted.
    ConnectionLimit,
    /// This process closed the connection, for the given reason.
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

//! Why a connection ended.

/// Why a connection ended. Its text is the reason code in logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CloseReason {
    /// The other side closed it.
    #[error("closed")]
    Closed,
    /// Reading or writing failed.
    #[error("reset")]
    Reset,
    /// The other side read nothing for too long.
    #[error("stalled")]
    Stalled,
    /// The attempt to connect failed.
    #[error("connect_error")]
    ConnectFailed,
    /// The attempt to connect took too long.
    #[error("connect_timeout")]
    ConnectTimeout,
    /// The greeting, or the answer to it, did not arrive in time.
    #[error("greeting_timeout")]
    HelloTimeout,
    /// A frame is longer than any message.
    #[error("frame_too_long")]
    FrameTooLong,
    /// A frame holds no message of this protocol.
    #[error("malformed_frame")]
    MalformedFrame,
    /// More is queued than the queue takes.
    #[error("queue_full")]
    QueueFull,
    /// A subscriber reads more slowly than changes arise.
    #[error("too_slow")]
    TooSlow,
    /// The core closed this connection over an earlier message.
    #[error("closed_locally")]
    ClosedByCore,
    /// The service or subscription that the connection belongs to was dropped.
    #[error("stopped")]
    Stopped,
    /// The observer rejected the subscriber, by this code of
    /// [`Rejection`](violetgate_state_distribution::Rejection).
    #[error("{0}")]
    Rejected(&'static str),
}

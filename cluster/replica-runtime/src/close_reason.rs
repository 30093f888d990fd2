//! The reasons for which a connection ends.

/// The reason for which a connection ended. Its `Display` text is the reason code in logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CloseReason {
    /// The other side closed the connection.
    #[error("closed")]
    Closed,
    /// Reading or writing failed.
    #[error("reset")]
    Reset,
    /// The other side read nothing for longer than the stall timeout.
    #[error("stalled")]
    Stalled,
    /// The attempt to connect failed.
    #[error("connect_error")]
    ConnectFailed,
    /// The attempt to connect took too long.
    #[error("connect_timeout")]
    ConnectTimeout,
    /// The hello, or the answer to it, did not arrive within the timeout.
    #[error("greeting_timeout")]
    HelloTimeout,
    /// A frame is longer than the maximum for its kind of message.
    #[error("frame_too_long")]
    FrameTooLong,
    /// The content of a frame can't be decoded as a message of this protocol.
    #[error("malformed_frame")]
    MalformedFrame,
    /// A frame does not fit into the memory budget.
    #[error("out_of_memory")]
    OutOfMemory,
    /// A message did not fit into the send queue.
    #[error("queue_full")]
    QueueFull,
    /// A subscriber reads more slowly than changes are made.
    #[error("too_slow")]
    TooSlow,
    /// The core closed this connection because of an earlier message.
    #[error("closed_locally")]
    ClosedByCore,
    /// The service or subscription that the connection belongs to was dropped.
    #[error("stopped")]
    Stopped,
    /// The observer rejected the subscriber. The text is the code of the
    /// [`Rejection`](violetgate_state_distribution::Rejection).
    #[error("{0}")]
    Rejected(&'static str),
}

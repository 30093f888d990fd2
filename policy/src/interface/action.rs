//! What a gateway has its embedding do.

use super::{EngineId, Micros, QueryId};

/// Something that the embedding has to do, in the order given.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Set the memory grant and the priority of the query's further attempts.
    SetResources {
        /// The query.
        query: QueryId,
        /// Megabytes; with 0 the engine decides.
        memory_mb: f64,
        /// 0 (lowest) to 3 (highest).
        priority: u8,
    },
    /// Send an attempt; its number is the count of earlier ones.
    Send {
        /// The query.
        query: QueryId,
        /// The engine to send it to.
        engine: EngineId,
        /// Time-out; 0 means until the client gives up.
        timeout: Micros,
    },
    /// Cancel an attempt; its end is reported as an event.
    Cancel {
        /// The query.
        query: QueryId,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
    /// Final answer: rejected without an effect; the client may retry.
    Reject {
        /// The query.
        query: QueryId,
        /// How long the client should wait before it retries.
        retry_after: Micros,
    },
    /// Final answer: failed, and the query may have had its effect.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// Send [`Event::TimerFired`](super::Event::TimerFired) at this time.
    SetTimer {
        /// When.
        at: Micros,
    },
    /// Subscribe to the engine list.
    SubscribeEngineList,
}

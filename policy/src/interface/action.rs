//! The actions that a gateway asks its embedding to carry out.

use super::{EngineId, Micros, QueryId};

/// An action that the embedding has to carry out, in the order in which actions are returned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Set the memory grant and the priority of all attempts of a query that are sent later.
    SetResources {
        /// The query whose attempts get the grant and the priority.
        query: QueryId,
        /// The memory grant in megabytes. With 0 the engine decides.
        memory_mb: f64,
        /// The priority, from 0 (lowest) to 3 (highest).
        priority: u8,
    },
    /// Send an attempt. Its number is the count of the query's earlier attempts.
    Send {
        /// The query to send.
        query: QueryId,
        /// The engine that the attempt goes to.
        engine: EngineId,
        /// The time-out of the attempt. With 0 it runs until the client gives up.
        timeout: Micros,
    },
    /// Cancel an attempt. Its end is reported as an event.
    Cancel {
        /// The query that the attempt belongs to.
        query: QueryId,
        /// The number of the attempt, from 0.
        attempt: u32,
    },
    /// Give the final answer that the query is rejected. The client may retry without harm.
    Reject {
        /// The query that is rejected.
        query: QueryId,
        /// How long the client should wait before it retries.
        retry_after: Micros,
    },
    /// Give the final answer that the query failed, and may have had its effect.
    Fail {
        /// The query that failed.
        query: QueryId,
    },
    /// Report [`Event::TimerFired`](super::Event::TimerFired) at a given time.
    SetTimer {
        /// The time at which the timer fires.
        at: Micros,
    },
    /// Subscribe to the engine list.
    SubscribeEngineList,
}

//! The upstream (engine) side: the line protocol, its connections and the pool of them.

mod close_reason;
pub mod codec;
mod connection;
pub mod pool;

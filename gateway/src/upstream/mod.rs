//! The upstream (engine) side: the line protocol, the connections to engines and their pool.

mod close_reason;
pub mod codec;
mod connection;
pub mod pool;

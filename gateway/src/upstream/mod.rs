//! The engine side: the line protocol, its connections and the pool of them.

pub mod codec;
mod connection;
pub mod pool;

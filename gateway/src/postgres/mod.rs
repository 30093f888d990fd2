//! The client side: the PostgreSQL protocol 3.0, its sessions and their cancel keys.

pub mod codec;
pub mod query_fields;
pub mod sessions;

//! The PostgreSQL front end: protocol 3.0 for simple queries, its sessions and their cancel
//! requests.

mod cancellation;
mod codec;
mod query_fields;
mod session;
mod session_end;
pub mod sessions;

#[cfg(test)]
mod tests;

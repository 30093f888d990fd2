//! The PostgreSQL front end: sessions of the wire protocol 3.0 with simple queries, and cancel
//! requests.

mod cancellation;
mod codec;
mod query_fields;
mod session;
mod session_end;
pub mod sessions;

#[cfg(test)]
mod tests;

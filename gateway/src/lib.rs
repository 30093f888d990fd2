//! violetgate: a gateway for query engines. Clients speak the PostgreSQL protocol or HTTP, and
//! engines speak a line protocol. Between them `violetgate-policy` decides which queries are
//! admitted, how they are queued and which engine runs each of them.
//!
//! `main` only calls [`cli`]; everything else is in this library.

mod admin;
pub mod cli;
mod clock;
mod config;
mod connection_limit;
pub mod control;
mod cordon_file;
mod ctl;
mod demo;
mod discovery;
mod dispatch;
mod drain;
mod exchange;
mod fence;
mod fleet;
mod hex;
mod http_error;
mod idempotency;
pub mod log;
pub mod metrics;
mod net;
mod postgres;
mod replication;
mod request_memory;
mod request_validation;
mod rest;
mod serve;
pub mod settings;
mod sibling_process;
mod stats;
mod table_group;
mod upstream;

//! violetgate: a gateway for query engines. Clients speak the PostgreSQL protocol or HTTP, engines
//! a line protocol; between them the decisions of `violetgate-policy` admit, queue and place every
//! query.
//!
//! The program is a thin `main` over [`cli`]; this library holds everything else, one concern to a
//! module.

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
mod request_validation;
mod rest;
mod serve;
pub mod settings;
mod sibling_process;
mod stats;
mod table_group;
mod upstream;

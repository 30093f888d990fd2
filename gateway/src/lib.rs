//! violetgate: a front end for query engines. Clients speak the PostgreSQL protocol, engines a line
//! protocol; between them the decisions of `violetgate-policy` admit, hold and place every query.
//!
//! The program is a thin `main` over [`cli`]; this library holds everything else, a module a concern.

mod admin;
mod asked;
mod bus;
pub mod cli;
mod client;
mod clock;
mod config;
pub mod control;
mod ctl;
mod daemon;
mod demo;
mod dispatch;
mod door;
mod engine;
mod exchange;
mod fence;
mod fleet;
mod keyed;
pub mod log;
mod net;
mod operations;
mod presence;
mod problem;
mod rest;
mod room;
mod serve;
pub mod settings;
mod stats;
mod store;
mod tables;

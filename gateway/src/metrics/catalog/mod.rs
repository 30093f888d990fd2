//! Every metric, declared once: a file a group, by what the metrics are about.

pub mod cluster;
pub mod event_bus;
pub mod fleet;
pub mod requests;
pub mod rest;

//! Declares every metric once, with a file for each subject.

pub mod cluster;
pub mod event_bus;
pub mod fleet;
pub mod memory;
pub mod requests;
pub mod rest;

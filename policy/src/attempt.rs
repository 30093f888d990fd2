//! The life of an attempt.
//!
//! - `sending`: it is sent;
//! - `progress`: it reports how far it is, and may be rerouted or given up for that;
//! - `silence`: it is silent for too long;
//! - `ending`: it ends, its capacity is released, and the query is retried or answered;
//! - `completion`: what an answer teaches.
//!
//! Each of them carries out what the rules decide: placement and eligibility before it, retry,
//! outlier detection and deadlines after it.

mod completion;
mod ending;
mod progress;
mod sending;
mod silence;

//! Decisions for a *gateway*: the front end that admits queries, queues them, and sends them to
//! query engines with limited threads and memory.
//!
//! [`Gateway`] does no input or output and has no clock. The program that embeds it (the
//! *embedding*) passes it [`Event`]s with the time at which they happened, and carries out the
//! [`Action`]s that it returns. See [`interface`] for an example.
//!
//! # Where each rule is
//!
//! [`Gateway::handle`] shows the order of the steps in each call. Each rule has its own module:
//!
//! | module | question |
//! | --- | --- |
//! | `admission` | Is a query that arrives sent, queued or rejected? |
//! | `queueing` | Which queued query goes next, and in which order do queries of one key run? |
//! | `deadline` | When does a query have to be answered, and when is it given up? |
//! | `placement` | Which engine does a query go to? |
//! | `eligibility` | May an attempt of this query go to this engine? |
//! | `capacity` | Does an engine have capacity for a query now? |
//! | `concurrency_limit` | How many threads may this gateway use at an engine, and in all? |
//! | `memory_grant` | How much memory is a query granted, and this gateway at an engine? |
//! | `slow_start` | How much work does an engine get while it warms up? |
//! | `outlier_detection` | Which engines are ejected, and when are they tried again? |
//! | `retry` | Does a query get a further attempt? |
//! | `attempt` | What happens when an attempt is sent, reports progress, goes silent or ends? |
//! | `final_answer` | Is a query rejected or failed, and is its attempt cancelled? |
//! | `priority` | How do queries rank against each other at a busy engine? |
//! | `engine_list` | How do the engine list and cordons change which engines are used? |
//! | `speed` | How fast do engines work, and how long will a query run? |
//! | `engine_totals` | What is the capacity of all engines together? |
//! | `timers` | When does the gateway act without an event? |
//!
//! `state` holds the data that a gateway keeps between calls. `estimators` computes moving means
//! and regressions from samples.

mod admission;
mod attempt;
mod capacity;
mod concurrency_limit;
mod deadline;
mod eligibility;
mod engine_list;
mod engine_totals;
mod estimators;
mod final_answer;
mod gateway;
pub mod interface;
mod memory_grant;
mod outlier_detection;
mod placement;
mod priority;
mod queueing;
mod retry;
mod slow_start;
mod speed;
mod state;
mod timers;
mod units;
pub mod wire;

pub use gateway::{EngineCounts, Gateway, RememberedCounts};
pub use interface::{Action, Event, Settings};

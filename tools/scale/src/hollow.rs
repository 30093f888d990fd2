//! Hollow front ends: the control plane of `violetgate serve` without client and engine connections, a thousand or so in
//! one process. They run the program's own parts; what is here starts, watches and reports on them, and decides nothing.

pub mod changes;
mod front_end;
pub mod process;
pub mod report;

use std::path::PathBuf;

use crate::whole_run::{self, Plan, WholeRunError};
use crate::{Figures, Options};

/// Why hollow front ends can't run.
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    /// A file of the run can't be read.
    #[error("{path}: {cause}: check that the file exists and can be read")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// The configuration or the settings can't be used.
    #[error("{path}: {cause}: correct the file")]
    Settings {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        cause: String,
    },
    /// A part needs a block that the settings lack.
    #[error("the settings have no `{block}` block, which part {part} needs: add it, or leave the part out")]
    Missing {
        /// The block.
        block: &'static str,
        /// The part.
        part: &'static str,
    },
    /// A part of a front end can't start.
    #[error("front end {index} can't start: {cause}")]
    Start {
        /// Which.
        index: usize,
        /// Why.
        cause: String,
    },
    /// The settings of the subscription can't keep a front end's state fresh.
    #[error(transparent)]
    Subscription(#[from] violetgate_state_distribution::InvalidSubscriberConfig),
}

/// The whole run: real control processes, real front ends and hollow ones; its figures, held to their bounds.
///
/// # Errors
///
/// The run can't be set up, or one of its processes ends before its time.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), WholeRunError> {
    whole_run::run(&Plan::from_options(options), figures)
}

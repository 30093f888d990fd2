//! The statistics of each class of queries.

use crate::estimators::{LogLogRegression, MovingMean};
use crate::interface::Micros;

/// The statistics of one class, estimated from its queries.
#[derive(Debug, Clone, Default)]
pub(crate) struct ClassStats {
    /// The work of a query, in seconds on one thread.
    pub work: MovingMean,
    /// The work of a query divided by its estimate.
    pub work_ratio: MovingMean,
    /// The memory that a query needs, in megabytes.
    pub memory_mb: MovingMean,
    /// Predicts the memory that a query needs from its estimate.
    pub memory_regression: LogLogRegression,
    /// The logarithm of the factor that corrects grants. It is used if answers do not report the
    /// memory that queries needed.
    pub log_grant_correction: f64,
    /// The moving fraction of answers that come after their objective.
    pub late_fraction: f64,
    /// The moving fraction of attempts that were silent for too long.
    pub silent_fraction: f64,
    /// The longest client timeout of any request that was not marked as a retry.
    pub longest_first_timeout: Micros,
    /// The random number from 0 to 1 that all admissions of the class share.
    pub admission_draw: f64,
    /// The time from which the next admission draws a new number.
    pub admission_draw_until: Micros,
}

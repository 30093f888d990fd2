//! What is learned of each class of queries.

use crate::estimators::{LogLogRegression, MovingMean};
use crate::interface::Micros;

/// What is learned of a class.
#[derive(Debug, Clone, Default)]
pub(crate) struct ClassStats {
    /// Work of a query, in seconds on one thread.
    pub work: MovingMean,
    /// Work over its estimate.
    pub work_ratio: MovingMean,
    /// Memory that a query needs, in megabytes.
    pub memory_mb: MovingMean,
    /// Memory needed against its estimate.
    pub memory_regression: LogLogRegression,
    /// Logarithm of the correction of grants where needs are not reported.
    pub log_grant_correction: f64,
    /// The moving fraction of answers that come after their objective.
    pub late_fraction: f64,
    /// The moving fraction of attempts that were silent for too long.
    pub silent_fraction: f64,
    /// The longest time that a client gave a first request.
    pub longest_first_request: Micros,
    /// The draw that all admissions of the class share, 0 to 1, and until when.
    pub admission_draw: f64,
    pub admission_draw_until: Micros,
}

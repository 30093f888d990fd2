//! Estimators that are updated with one sample at a time: a moving mean with its deviation, and a
//! linear regression of logarithms. Neither stores its samples.

/// A moving mean with its mean absolute deviation. It starts as the plain mean of all samples, and
/// becomes an exponential moving mean once `1 / samples` is less than the minimum gain.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MovingMean {
    pub mean: f64,
    pub deviation: f64,
    samples: f64,
}

impl MovingMean {
    /// Adds a sample, with a weight of at least `min_gain`.
    pub fn record(&mut self, sample: f64, min_gain: f64) {
        self.samples += 1.0;
        let gain = (1.0 / self.samples).max(min_gain);
        self.deviation += gain * ((sample - self.mean).abs() - self.deviation);
        self.mean += gain * (sample - self.mean);
        if self.samples < 2.0 {
            self.deviation = 0.0;
        }
    }

    /// Returns the mean, or `None` before the first sample.
    pub fn mean_if_any(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.mean)
    }
}

/// The prediction of a regression: the mean and the variance of the logarithm.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LogPrediction {
    pub mean: f64,
    pub variance: f64,
}

/// A linear regression from the logarithms of estimates to the logarithms of observed needs. With
/// few samples the slope is near 1: the need is proportional to the estimate. If estimates predict
/// nothing, the prediction tends to the mean need.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LogLogRegression {
    samples: f64,
    mean_estimate: f64,
    mean_need: f64,
    estimate_variance: f64,
    covariance: f64,
    need_variance: f64,
}

impl LogLogRegression {
    /// Adds a sample, with a weight of at least `min_gain`. A sample without a finite logarithm is
    /// ignored.
    pub fn record(&mut self, estimate: f64, need: f64, min_gain: f64) {
        let (Some(estimate), Some(need)) = (finite_ln(estimate), finite_ln(need)) else {
            return;
        };
        self.samples += 1.0;
        let gain = (1.0 / self.samples).max(min_gain);
        let estimate_offset = estimate - self.mean_estimate;
        let need_offset = need - self.mean_need;
        self.mean_estimate += gain * estimate_offset;
        self.mean_need += gain * need_offset;
        for (moment, product) in [
            (
                &mut self.estimate_variance,
                estimate_offset * estimate_offset,
            ),
            (&mut self.covariance, estimate_offset * need_offset),
            (&mut self.need_variance, need_offset * need_offset),
        ] {
            *moment = (1.0 - gain) * (*moment + gain * product);
        }
    }

    /// Predicts the need from an estimate. Returns `None` before the first sample, or if the
    /// estimate has no finite logarithm.
    pub fn predict(&self, estimate: f64) -> Option<LogPrediction> {
        let estimate = finite_ln(estimate).filter(|_| self.samples > 0.0)?;
        let slope =
            (self.samples * self.covariance + 1.0) / (self.samples * self.estimate_variance + 1.0);
        let residual = self.need_variance - 2.0 * slope * self.covariance
            + slope * slope * self.estimate_variance;
        Some(LogPrediction {
            mean: self.mean_need + slope * (estimate - self.mean_estimate),
            variance: residual.max(0.0),
        })
    }
}

fn finite_ln(value: f64) -> Option<f64> {
    Some(value.ln()).filter(|log| log.is_finite())
}

//! Estimators that learn from samples as they come: a moving mean with its deviation, and a
//! regression in logarithms. Neither stores its samples.

/// A moving mean with its mean absolute deviation. The first samples count as in a plain mean.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MovingMean {
    pub mean: f64,
    pub deviation: f64,
    samples: f64,
}

impl MovingMean {
    /// Takes in a sample, which weighs `min_gain` at least.
    pub fn record(&mut self, sample: f64, min_gain: f64) {
        self.samples += 1.0;
        let gain = (1.0 / self.samples).max(min_gain);
        self.deviation += gain * ((sample - self.mean).abs() - self.deviation);
        self.mean += gain * (sample - self.mean);
        if self.samples < 2.0 {
            self.deviation = 0.0;
        }
    }

    /// The mean, once there is a sample.
    pub fn known(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.mean)
    }
}

/// What a regression predicts, as a logarithm.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LogPrediction {
    pub mean: f64,
    pub variance: f64,
}

/// A line through the logarithms of estimates and of the needs that were observed. It starts at
/// "the need is the estimate", and tends to the mean need where estimates predict nothing.
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
    /// Takes in a sample, which weighs `min_gain` at least. Samples without a logarithm are
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

    /// The need that an estimate predicts, once there is a sample.
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

//! Converts between the microseconds of the interface and the seconds that the rules compute with.

use crate::interface::Micros;

/// The longest span that the rules handle, in seconds.
const MAX_SECONDS: f64 = 1e9;

/// Converts microseconds to seconds.
pub(crate) fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// Converts seconds to microseconds. Limits the result to 0 to [`MAX_SECONDS`].
pub(crate) fn micros(seconds: f64) -> Micros {
    (seconds.clamp(0.0, MAX_SECONDS) * 1e6) as Micros
}

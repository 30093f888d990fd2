//! Conversions between the interface's microseconds and the seconds of the rules' arithmetic.

use crate::interface::Micros;

/// The longest span that the rules handle, in seconds.
const MAX_SECONDS: f64 = 1e9;

/// Microseconds as seconds.
pub(crate) fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// Seconds as microseconds. Negative spans become 0, too long ones the longest.
pub(crate) fn micros(seconds: f64) -> Micros {
    (seconds.clamp(0.0, MAX_SECONDS) * 1e6) as Micros
}

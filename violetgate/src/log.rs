//! The log: one line for each connection that ended, and few others; `docs/on-call.md` explains them all.

use std::fmt::Display;
use std::io::Write;

/// Writes one line to standard error. A log that can't be written is no reason to stop serving.
pub fn line(text: impl Display) {
    let text = format!("{text}\n");
    let _ = std::io::stderr().lock().write_all(text.as_bytes());
}

/// Tells of a connection that ended: whose it was, the other end, why, and how many requests it carried.
pub fn ended(side: &str, peer: impl Display, reason: impl Display, requests: u64) {
    line(format_args!("{side} {peer} ended reason={reason} requests={requests}"));
}

//! Parses the ids of the text protocols, which are written as 16 hexadecimal digits.

const DIGITS: usize = 16;

/// Parses a 64-bit number that is written as exactly 16 hexadecimal digits.
#[must_use]
pub fn parse_u64(text: &str) -> Option<u64> {
    let is_plain = text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_plain
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten()
}

//! Conversions between the text of scripts and transcripts and the bytes on the wire.

/// Masks the remaining time of a command, which differs from run to run.
pub fn mask(text: &str) -> String {
    let Some((before, after)) = text.split_once("patience=") else {
        return text.to_owned();
    };
    format!(
        "{before}patience=*{}",
        after.trim_start_matches(|c: char| c.is_ascii_digit())
    )
}

pub fn unescape(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        out.push(match b {
            b'\\' => match bytes.next().unwrap() {
                b'r' => b'\r',
                b'n' => b'\n',
                b't' => b'\t',
                b'x' => {
                    let digits = [bytes.next().unwrap(), bytes.next().unwrap()];
                    u8::from_str_radix(std::str::from_utf8(&digits).unwrap(), 16).unwrap()
                }
                other => other,
            },
            b => b,
        });
    }
    out
}

pub fn startup() -> Vec<u8> {
    let body = b"\x00\x03\x00\x00user\0app\0database\0analytics\0\0";
    [&(body.len() as u32 + 4).to_be_bytes(), &body[..]].concat()
}

pub fn query(text: &str) -> Vec<u8> {
    [
        b"Q",
        &(text.len() as u32 + 5).to_be_bytes()[..],
        text.as_bytes(),
        b"\0",
    ]
    .concat()
}

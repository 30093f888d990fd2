//! Conversions between the text of scripts and transcripts and the bytes on the wire.

/// What precedes a number that differs from run to run: the remaining time of a command, and the
/// memory of ids, some of which are forgotten after a time.
const VARYING: [&str; 2] = [
    "patience=",
    "svc_memory_charged_bytes{purpose=\\\"retained\\\"} ",
];

/// Masks the numbers that differ from run to run.
pub fn mask(text: &str) -> String {
    VARYING.iter().fold(text.to_owned(), |text, before_number| {
        let Some((before, after)) = text.split_once(before_number) else {
            return text;
        };
        format!(
            "{before}{before_number}*{}",
            after.trim_start_matches(|c: char| c.is_ascii_digit())
        )
    })
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

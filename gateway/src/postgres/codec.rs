//! The PostgreSQL wire protocol 3.0, as far as simple queries need it.

/// The longest start-up packet, as in PostgreSQL.
pub const MAX_STARTUP: usize = 10_000;
/// The longest message. Clients hold hundreds of sessions, and memory is short.
pub const MAX_MESSAGE: usize = 64 * 1024;

/// What a client says first on a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Startup<'a> {
    /// It asks for encryption: SSLRequest or GSSENCRequest.
    Encryption,
    /// CancelRequest: the process id and the secret key of the session meant.
    Cancel(u32, u32),
    /// StartupMessage: the minor version and the parameters that are protocol options, and the user.
    Begin {
        /// The minor version asked for.
        minor: u16,
        /// Protocol options, which this server has none of.
        options: Vec<&'a str>,
        /// Who connects.
        user: Option<&'a str>,
    },
}

/// Bytes that break the protocol.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

fn int(bytes: &[u8], at: usize) -> Option<u32> {
    bytes
        .get(at..at + 4)?
        .try_into()
        .ok()
        .map(u32::from_be_bytes)
}

/// Reads a start-up packet: the packet and its size, or `None` while it is not yet whole.
///
/// # Errors
///
/// The bytes can't begin a start-up packet.
pub fn startup(bytes: &[u8]) -> Result<Option<(Startup<'_>, usize)>, Malformed> {
    let Some(length) = int(bytes, 0) else {
        return Ok(None);
    };
    let length = length as usize;
    if !(8..=MAX_STARTUP).contains(&length) {
        return Err(Malformed("invalid length of startup packet"));
    }
    let Some(packet) = bytes.get(..length) else {
        return Ok(None);
    };
    let code = int(packet, 4).unwrap_or(0);
    let startup = match code {
        80_877_103 | 80_877_104 if length == 8 => Startup::Encryption,
        80_877_102 => match (length, int(packet, 8), int(packet, 12)) {
            (16, Some(pid), Some(secret)) => Startup::Cancel(pid, secret),
            _ => return Err(Malformed("invalid cancel request")),
        },
        _ if code >> 16 == 3 => parameters(packet, code as u16)?,
        _ => return Err(Malformed("unsupported frontend protocol")),
    };
    Ok(Some((startup, length)))
}

fn parameters(packet: &[u8], minor: u16) -> Result<Startup<'_>, Malformed> {
    let bad = Malformed("invalid startup packet layout: expected terminator as last byte");
    let Some(body) = packet.get(8..).and_then(|b| b.strip_suffix(&[0])) else {
        return Err(bad);
    };
    let (mut options, mut user) = (Vec::new(), None);
    if !body.is_empty() {
        let Some(body) = body.strip_suffix(&[0]) else {
            return Err(bad);
        };
        let mut words = body.split(|b| *b == 0);
        while let Some(name) = words.next() {
            let (name, value) = match (
                std::str::from_utf8(name),
                words.next().map(std::str::from_utf8),
            ) {
                (Ok(name), Some(Ok(value))) if !name.is_empty() => (name, value),
                _ => return Err(bad),
            };
            if name.starts_with("_pq_.") {
                options.push(name);
            } else if name == "user" {
                user = Some(value).filter(|u| !u.is_empty());
            }
        }
    }
    Ok(Startup::Begin {
        minor,
        options,
        user,
    })
}

/// The type of a message, its body, and its whole size.
pub type Message<'a> = (u8, &'a [u8], usize);

/// Reads a message of a session: its type, its body and its size, or `None` while it is not yet whole.
///
/// # Errors
///
/// No message begins like that.
pub fn message(bytes: &[u8]) -> Result<Option<Message<'_>>, Malformed> {
    let Some(&kind) = bytes.first() else {
        return Ok(None);
    };
    if !b"QXSPBDECHFdcfp".contains(&kind) {
        return Err(Malformed("invalid frontend message type"));
    }
    let Some(length) = int(bytes, 1) else {
        return Ok(None);
    };
    let length = length as usize;
    if !(4..=MAX_MESSAGE).contains(&length) {
        return Err(Malformed("invalid message length"));
    }
    Ok(bytes.get(5..=length).map(|body| (kind, body, length + 1)))
}

/// The text of a Query message.
///
/// # Errors
///
/// It is not one string with its terminator.
pub fn query(body: &[u8]) -> Result<&[u8], Malformed> {
    match body.split_last() {
        Some((0, text)) if !text.contains(&0) => Ok(text),
        _ => Err(Malformed("invalid string in message")),
    }
}

/// Appends one message.
fn put(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let at = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let length = (out.len() - at) as u32;
    if let Some(place) = out.get_mut(at..at + 4) {
        place.copy_from_slice(&length.to_be_bytes());
    }
}

fn text(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// The answer to a StartupMessage, up to the first ReadyForQuery.
pub fn welcome(out: &mut Vec<u8>, minor: u16, options: &[&str], pid: u32, secret: u32) {
    if minor > 0 || !options.is_empty() {
        // NegotiateProtocolVersion: 3.0 without options is all that is spoken here.
        put(out, b'v', |o| {
            o.extend_from_slice(&0u32.to_be_bytes());
            o.extend_from_slice(&(options.len() as u32).to_be_bytes());
            options.iter().for_each(|name| text(o, name));
        });
    }
    put(out, b'R', |o| o.extend_from_slice(&0u32.to_be_bytes()));
    for (name, value) in [
        ("server_version", "15.0 (violetgate)"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
        ("TimeZone", "UTC"),
    ] {
        put(out, b'S', |o| {
            text(o, name);
            text(o, value);
        });
    }
    put(out, b'K', |o| {
        o.extend_from_slice(&pid.to_be_bytes());
        o.extend_from_slice(&secret.to_be_bytes());
    });
    ready(out);
}

/// ReadyForQuery, outside a transaction.
pub fn ready(out: &mut Vec<u8>) {
    put(out, b'Z', |o| o.push(b'I'));
}

/// EmptyQueryResponse.
pub fn empty(out: &mut Vec<u8>) {
    put(out, b'I', |_| {});
}

/// ErrorResponse.
pub fn error(out: &mut Vec<u8>, severity: &str, code: &str, message: &str, hint: Option<&str>) {
    put(out, b'E', |o| {
        let fields = [
            (b'S', severity),
            (b'V', severity),
            (b'C', code),
            (b'M', message),
        ];
        for (field, value) in fields.into_iter().chain(hint.map(|h| (b'H', h))) {
            o.push(field);
            text(o, value);
        }
        o.push(0);
    });
}

/// A whole result: RowDescription of three text columns, the rows of all pages as they came, and
/// CommandComplete.
pub fn rows<'a>(out: &mut Vec<u8>, pages: impl Iterator<Item = &'a [u8]>) {
    const TEXT: u32 = 25;
    put(out, b'T', |o| {
        o.extend_from_slice(&3u16.to_be_bytes());
        for name in ["column1", "column2", "column3"] {
            text(o, name);
            o.extend_from_slice(&[0; 6]); // no table, no attribute
            o.extend_from_slice(&TEXT.to_be_bytes());
            o.extend_from_slice(&(-1i16).to_be_bytes());
            o.extend_from_slice(&(-1i32).to_be_bytes());
            o.extend_from_slice(&[0; 2]); // text format
        }
    });
    let mut count = 0u64;
    for row in pages.flat_map(|page| page.split_inclusive(|b| *b == b'\n')) {
        let row = row.strip_suffix(b"\n").unwrap_or(row);
        put(out, b'D', |o| {
            o.extend_from_slice(&3u16.to_be_bytes());
            for column in row.split(|b| *b == b'\t') {
                o.extend_from_slice(&(column.len() as u32).to_be_bytes());
                o.extend_from_slice(column);
            }
        });
        count += 1;
    }
    put(out, b'C', |o| text(o, &format!("SELECT {count}")));
}

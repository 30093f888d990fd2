//! Reads and writes messages of the PostgreSQL wire protocol 3.0, as far as simple queries need it.

use super::cancellation::CancelKey;

/// Maximum size of a start-up packet, as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Maximum size of a message without its type byte. Clients hold hundreds of sessions, so a larger
/// limit would take too much memory.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Types of the client messages that a session handles by name.
pub const QUERY: u8 = b'Q';
pub const TERMINATE: u8 = b'X';
pub const SYNC: u8 = b'S';
pub const FUNCTION_CALL: u8 = b'F';
pub const PASSWORD: u8 = b'p';
const FRONTEND_MESSAGES: &[u8] = b"QXSPBDECHFdcfp";
/// Types of the messages Parse, Bind, Describe, Execute and Close.
const EXTENDED_QUERY_MESSAGES: &[u8] = b"PBDEC";

/// The answer to a request for encryption, which is not supported.
pub const NO_ENCRYPTION: u8 = b'N';

/// Request codes that a start-up packet carries instead of a protocol version.
const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST: u32 = 80_877_104;
const MAJOR_VERSION: u32 = 3;

/// Whether a message belongs to the extended query protocol.
#[must_use]
pub fn is_extended_query(kind: u8) -> bool {
    EXTENDED_QUERY_MESSAGES.contains(&kind)
}

/// A start-up packet, which a client sends first on a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Startup {
    /// SSLRequest or GSSENCRequest: the client requests encryption.
    Encryption,
    /// CancelRequest, with the key of the session whose query is to be cancelled.
    Cancel(CancelKey),
    /// StartupMessage: the client starts a session.
    Begin {
        /// The requested minor version of the protocol.
        minor: u16,
        /// The names of the requested protocol options, none of which is supported.
        options: Vec<String>,
        /// The user name, if it is present and not empty.
        user: Option<String>,
    },
}

/// The error for bytes that violate the protocol; the text is the message for the client.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

const BAD_STARTUP_LAYOUT: Malformed =
    Malformed("invalid startup packet layout: expected terminator as last byte");

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    let bytes = bytes.get(at..at + 4)?;
    bytes.try_into().ok().map(u32::from_be_bytes)
}

/// Reads a start-up packet. Returns the packet and its size in bytes, or `None` if it is not yet
/// complete.
///
/// # Errors
///
/// Returns an error if the bytes can't be a start-up packet or the beginning of one.
pub fn parse_startup(bytes: &[u8]) -> Result<Option<(Startup, usize)>, Malformed> {
    let Some(length) = read_u32(bytes, 0) else {
        return Ok(None);
    };
    let length = length as usize;
    if !(8..=MAX_STARTUP_BYTES).contains(&length) {
        return Err(Malformed("invalid length of startup packet"));
    }
    let Some(packet) = bytes.get(..length) else {
        return Ok(None);
    };
    let code = read_u32(packet, 4).unwrap_or(0);
    let startup = match code {
        SSL_REQUEST | GSS_ENCRYPTION_REQUEST if length == 8 => Startup::Encryption,
        CANCEL_REQUEST => match (length, read_u32(packet, 8), read_u32(packet, 12)) {
            (16, Some(pid), Some(secret)) => Startup::Cancel(CancelKey { pid, secret }),
            _ => return Err(Malformed("invalid cancel request")),
        },
        _ if code >> 16 == MAJOR_VERSION => parse_parameters(packet, code as u16)?,
        _ => return Err(Malformed("unsupported frontend protocol")),
    };
    Ok(Some((startup, length)))
}

fn parse_parameters(packet: &[u8], minor: u16) -> Result<Startup, Malformed> {
    let body = packet.get(8..).and_then(|body| body.strip_suffix(&[0]));
    let body = body.ok_or(BAD_STARTUP_LAYOUT)?;
    let (mut options, mut user) = (Vec::new(), None);
    if !body.is_empty() {
        let body = body.strip_suffix(&[0]).ok_or(BAD_STARTUP_LAYOUT)?;
        let mut words = body.split(|byte| *byte == 0);
        while let Some(name) = words.next() {
            let value = words.next().map(std::str::from_utf8);
            let (name, value) = match (std::str::from_utf8(name), value) {
                (Ok(name), Some(Ok(value))) if !name.is_empty() => (name, value),
                _ => return Err(BAD_STARTUP_LAYOUT),
            };
            if name.starts_with("_pq_.") {
                options.push(name.to_owned());
            } else if name == "user" {
                user = Some(value.to_owned()).filter(|user| !user.is_empty());
            }
        }
    }
    Ok(Startup::Begin {
        minor,
        options,
        user,
    })
}

/// The type and size of a message that a client sends after the start of a session.
#[derive(Debug, PartialEq, Eq)]
pub struct MessageHead {
    /// The type byte.
    pub kind: u8,
    /// The size in bytes, including the type and the length.
    pub size: usize,
}

/// Reads the head of a message of a session. Returns `None` if the message is incomplete.
///
/// # Errors
///
/// Returns an error if the type of the message is unknown or its length is out of range.
pub fn message_head(bytes: &[u8]) -> Result<Option<MessageHead>, Malformed> {
    let Some(&kind) = bytes.first() else {
        return Ok(None);
    };
    if !FRONTEND_MESSAGES.contains(&kind) {
        return Err(Malformed("invalid frontend message type"));
    }
    let Some(length) = read_u32(bytes, 1) else {
        return Ok(None);
    };
    let length = length as usize;
    if !(4..=MAX_MESSAGE_BYTES).contains(&length) {
        return Err(Malformed("invalid message length"));
    }
    let size = length + 1;
    Ok((bytes.len() >= size).then_some(MessageHead { kind, size }))
}

/// Returns the size in bytes that the message at the start of `bytes` states, including its type and
/// length. `None`: its length has not arrived, or is out of range.
#[must_use]
pub fn message_size(bytes: &[u8]) -> Option<usize> {
    let length = read_u32(bytes, 1)? as usize;
    (4..=MAX_MESSAGE_BYTES)
        .contains(&length)
        .then_some(length + 1)
}

/// Returns the content of a complete message, after its type and length.
#[must_use]
pub fn message_body(message: &[u8]) -> &[u8] {
    message.get(5..).unwrap_or_default()
}

/// Returns the SQL text of a Query message.
///
/// # Errors
///
/// Returns an error if the body is not exactly one string with its terminator.
pub fn query_text(body: &[u8]) -> Result<&[u8], Malformed> {
    match body.split_last() {
        Some((0, text)) if !text.contains(&0) => Ok(text),
        _ => Err(Malformed("invalid string in message")),
    }
}

/// Appends a message of type `kind`, and fills in its length after the body is written.
fn write_message(out: &mut Vec<u8>, kind: u8, write_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let at = out.len();
    out.extend_from_slice(&[0; 4]);
    write_body(out);
    let length = (out.len() - at) as u32;
    if let Some(length_field) = out.get_mut(at..at + 4) {
        length_field.copy_from_slice(&length.to_be_bytes());
    }
}

fn write_text(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// A ParameterStatus that repeats what each session is told at its start. Clients take one at any
/// time, and this one changes nothing.
pub const PARAMETER_STATUS: &[u8] = b"S\0\0\0\x19client_encoding\0UTF8\0";

/// Appends the answer to a StartupMessage, up to and including the first ReadyForQuery.
pub fn write_startup_response(out: &mut Vec<u8>, minor: u16, options: &[String], key: CancelKey) {
    if minor > 0 || !options.is_empty() {
        // NegotiateProtocolVersion: only version 3.0 without options is supported.
        write_message(out, b'v', |body| {
            body.extend_from_slice(&0u32.to_be_bytes());
            body.extend_from_slice(&(options.len() as u32).to_be_bytes());
            options.iter().for_each(|name| write_text(body, name));
        });
    }
    write_message(out, b'R', |body| {
        body.extend_from_slice(&0u32.to_be_bytes());
    });
    for (name, value) in [
        ("server_version", "15.0 (violetgate)"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
        ("TimeZone", "UTC"),
    ] {
        write_message(out, b'S', |body| {
            write_text(body, name);
            write_text(body, value);
        });
    }
    write_message(out, b'K', |body| {
        body.extend_from_slice(&key.pid.to_be_bytes());
        body.extend_from_slice(&key.secret.to_be_bytes());
    });
    write_ready(out);
}

/// Appends ReadyForQuery with the status 'idle', which means that no transaction is open.
pub fn write_ready(out: &mut Vec<u8>) {
    write_message(out, b'Z', |body| body.push(b'I'));
}

/// Appends EmptyQueryResponse.
pub fn write_empty_query(out: &mut Vec<u8>) {
    write_message(out, b'I', |_| {});
}

/// The fields of an ErrorResponse.
#[derive(Debug, Clone, Copy)]
pub struct ErrorResponse<'a> {
    /// `ERROR`, or `FATAL` if the connection ends after it.
    pub severity: &'a str,
    /// The five-character SQLSTATE.
    pub code: &'a str,
    /// The primary message, which says what failed.
    pub message: &'a str,
    /// An optional text that says what the client can do.
    pub hint: Option<&'a str>,
}

impl<'a> ErrorResponse<'a> {
    /// Creates an error of severity `ERROR`, after which the session continues.
    #[must_use]
    pub fn error(code: &'a str, message: &'a str) -> Self {
        ErrorResponse {
            severity: "ERROR",
            code,
            message,
            hint: None,
        }
    }

    /// Creates an error of severity `FATAL`, after which the connection ends.
    #[must_use]
    pub fn fatal(code: &'a str, message: &'a str) -> Self {
        ErrorResponse {
            severity: "FATAL",
            ..Self::error(code, message)
        }
    }
}

/// Appends ErrorResponse.
pub fn write_error(out: &mut Vec<u8>, error: &ErrorResponse<'_>) {
    write_message(out, b'E', |body| {
        let fields = [
            (b'S', error.severity),
            (b'V', error.severity),
            (b'C', error.code),
            (b'M', error.message),
        ];
        let hint = error.hint.map(|hint| (b'H', hint));
        for (field, value) in fields.into_iter().chain(hint) {
            body.push(field);
            write_text(body, value);
        }
        body.push(0);
    });
}

/// Returns the rows of a page without their line feeds.
pub fn rows(page: &[u8]) -> impl Iterator<Item = &[u8]> {
    let rows = page.split_inclusive(|byte| *byte == b'\n');
    rows.map(|row| row.strip_suffix(b"\n").unwrap_or(row))
}

/// Appends a DataRow. Tabs separate the columns of `row`.
pub fn write_row(out: &mut Vec<u8>, row: &[u8]) {
    write_message(out, b'D', |body| {
        body.extend_from_slice(&COLUMN_COUNT.to_be_bytes());
        for column in row.split(|byte| *byte == b'\t') {
            body.extend_from_slice(&(column.len() as u32).to_be_bytes());
            body.extend_from_slice(column);
        }
    });
}

/// Appends the CommandComplete that follows `row_count` rows.
pub fn write_command_complete(out: &mut Vec<u8>, row_count: u64) {
    write_message(out, b'C', |body| {
        write_text(body, &format!("SELECT {row_count}"));
    });
}

const COLUMN_NAMES: [&str; 3] = ["column1", "column2", "column3"];
const COLUMN_COUNT: u16 = COLUMN_NAMES.len() as u16;
/// The object id of the type `text`, which has a variable size and no modifier.
const TEXT_TYPE: u32 = 25;
const VARIABLE_SIZE: i16 = -1;
const NO_TYPE_MODIFIER: i32 = -1;

/// Appends the RowDescription of three text columns, which precedes the rows of a result.
pub fn write_row_description(out: &mut Vec<u8>) {
    write_message(out, b'T', |body| {
        body.extend_from_slice(&COLUMN_COUNT.to_be_bytes());
        for name in COLUMN_NAMES {
            write_text(body, name);
            body.extend_from_slice(&[0; 6]); // no table, no attribute
            body.extend_from_slice(&TEXT_TYPE.to_be_bytes());
            body.extend_from_slice(&VARIABLE_SIZE.to_be_bytes());
            body.extend_from_slice(&NO_TYPE_MODIFIER.to_be_bytes());
            body.extend_from_slice(&[0; 2]); // text format
        }
    });
}

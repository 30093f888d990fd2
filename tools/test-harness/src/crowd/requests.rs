//! What the clients of a crowd send.

/// The startup message: protocol 3.0, user `app`, database `analytics`.
const STARTUP: &[u8] = b"\0\0\0\x25\0\x03\0\0user\0app\0database\0analytics\0\0";
/// The largest message without its type byte that the gateway accepts.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// A start-up message, followed by the given messages.
#[must_use]
pub fn session(messages: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = STARTUP.to_vec();
    messages.iter().for_each(|message| bytes.extend(message));
    bytes
}

/// A Query message.
#[must_use]
pub fn query(sql: &str) -> Vec<u8> {
    let length = u32::try_from(sql.len() + 5).unwrap_or(u32::MAX);
    let mut bytes = vec![b'Q'];
    bytes.extend(length.to_be_bytes());
    bytes.extend(sql.as_bytes());
    bytes.push(0);
    bytes
}

/// A lookup whose message has the largest size. `id` has to be unique.
#[must_use]
pub fn large_lookup(id: u64) -> Vec<u8> {
    large_statement(id, "SELECT 1")
}

/// A lookup whose message has the largest size, and which takes a while.
#[must_use]
pub fn slow_large_lookup(id: u64) -> Vec<u8> {
    large_statement(id, "SELECT 'ms=300'")
}

fn large_statement(id: u64, select: &str) -> Vec<u8> {
    let head = format!(
        "/* method=lookup,rid={id:016x},budget=1500 */ {select} FROM sales_3.plan WHERE note = '"
    );
    let filler = "y".repeat(MAX_MESSAGE_BYTES - head.len() - 6);
    query(&format!("{head}{filler}'"))
}

/// A lookup that begins with very many short fields that mean nothing.
#[must_use]
pub fn many_short_fields(id: u64) -> Vec<u8> {
    let mut fields = format!("/* method=lookup,rid={id:016x},budget=1500");
    let mut number = 0;
    while fields.len() < MAX_MESSAGE_BYTES - 100 {
        fields += &format!(",f{number}=");
        number += 1;
    }
    query(&format!("{fields} */ SELECT 1 FROM sales_3.plan"))
}

/// A lookup whose result has the largest size.
#[must_use]
pub fn large_result(id: u64) -> Vec<u8> {
    query(&format!(
        "/* method=lookup,rid={id:016x},budget=9000 */ SELECT 'rows=900 width=50' FROM sales_3.plan"
    ))
}

/// The head of a query over HTTP with very many short fields, which has no end.
#[must_use]
pub fn many_short_headers(bytes: usize) -> Vec<u8> {
    let mut head = String::from("POST /v1/queries HTTP/1.1\r\nhost: a\r\n");
    let mut number = 0;
    while head.len() < bytes {
        head += &format!("f{number}:\r\n");
        number += 1;
    }
    head.into_bytes()
}

/// A query over HTTP with a large body, of which only a part is sent.
#[must_use]
pub fn half_body(id: u64, bytes: usize) -> Vec<u8> {
    let head = format!(
        "POST /v1/queries HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        bytes + 1
    );
    let body = format!("{{\"class\":\"lookup\",\"statement\":\"SELECT {id}");
    let filler = "y".repeat(bytes - body.len());
    format!("{head}{body}{filler}").into_bytes()
}

/// The first part of a message, up to `bytes`.
#[must_use]
pub fn cut(mut message: Vec<u8>, bytes: usize) -> Vec<u8> {
    message.truncate(bytes);
    message
}

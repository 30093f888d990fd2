//! Tests of the parser for management calls.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use super::*;

#[test]
fn a_call_is_parsed_only_after_its_last_byte_has_arrived() {
    let bytes =
        b"PUT /admin/cordon?x=1 HTTP/1.1\r\nHost: a\r\ncontent-length: 14\r\n\r\n{\"host\":\"s-1\"}";
    for cut in 0..bytes.len() {
        assert_eq!(parse(&bytes[..cut]), Ok(None), "{cut}");
    }
    let call = parse(bytes).unwrap().unwrap();
    assert_eq!(
        (call.method, call.path, call.body),
        ("PUT", "/admin/cordon", &b"{\"host\":\"s-1\"}"[..])
    );
}

/// Guards against waiting for more bytes of a call that is invalid or too long: the parser must not
/// take such a call for an incomplete one.
#[test]
fn invalid_and_too_long_calls_get_their_status() {
    let long = format!("GET /{} HTTP/1.1\r\n", "a".repeat(MAX_HEAD_BYTES));
    let many = format!(
        "GET / HTTP/1.1\r\n{}\r\n",
        "a: b\r\n".repeat(MAX_HEADERS + 1)
    );
    for (bytes, status) in [
        ("\u{1}\u{2}", Status::BadRequest),
        ("GET / HTTP/9\r\n\r\n", Status::BadRequest),
        (
            "PUT / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            Status::BadRequest,
        ),
        (
            "PUT / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            Status::BadRequest,
        ),
        (
            "PUT / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
            Status::ContentTooLarge,
        ),
        (
            "PUT / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
            Status::ContentTooLarge,
        ),
        (
            "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            Status::LengthRequired,
        ),
        (long.as_str(), Status::HeadTooLarge),
        (many.as_str(), Status::HeadTooLarge),
    ] {
        assert_eq!(parse(bytes.as_bytes()), Err(status), "{bytes}");
    }
}

//! HTTP/1.1, as far as one call to a connection needs it.

/// The longest head and the longest body of a call.
pub const MAX_HEAD: usize = 8 * 1024;
pub const MAX_BODY: usize = 4 * 1024;
const MAX_HEADERS: usize = 64;

/// Status codes that are given here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Yes.
    Ok = 200,
    /// The call, or what it holds, can't be read.
    BadRequest = 400,
    /// No such path, or no such engine.
    NotFound = 404,
    /// The path has another method.
    MethodNotAllowed = 405,
    /// The call was not whole in time.
    RequestTimeout = 408,
    /// A body comes without its length.
    LengthRequired = 411,
    /// It is to be called for elsewhere.
    Conflict = 409,
    /// The body is too long.
    ContentTooLarge = 413,
    /// The head is too long.
    HeadTooLarge = 431,
    /// Not yet.
    ServiceUnavailable = 503,
}

impl Status {
    fn phrase(self) -> &'static str {
        match self {
            Status::Ok => "OK",
            Status::BadRequest => "Bad Request",
            Status::NotFound => "Not Found",
            Status::MethodNotAllowed => "Method Not Allowed",
            Status::RequestTimeout => "Request Timeout",
            Status::LengthRequired => "Length Required",
            Status::ContentTooLarge => "Content Too Large",
            Status::HeadTooLarge => "Request Header Fields Too Large",
            Status::Conflict => "Conflict",
            Status::ServiceUnavailable => "Service Unavailable",
        }
    }
}

/// One whole call.
#[derive(Debug, PartialEq, Eq)]
pub struct Call<'a> {
    /// The method.
    pub method: &'a str,
    /// The path, without what stands behind a question mark.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// Reads the call at the start of `bytes`; `None` while it is not yet whole.
///
/// # Errors
///
/// It can't be one, or is too long.
pub fn parse(bytes: &[u8]) -> Result<Option<Call<'_>>, Status> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let size = match head.parse(bytes) {
        Ok(httparse::Status::Complete(size)) if size <= MAX_HEAD => size,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Status::HeadTooLarge),
        Err(_) => return Err(Status::BadRequest),
    };
    let mut length = None;
    for header in head.headers.iter() {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Status::LengthRequired);
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let told = std::str::from_utf8(header.value)
                .ok()
                .map(str::trim)
                .filter(|v| digits(v));
            let told = told.ok_or(Status::BadRequest)?;
            // Two lengths that differ leave it open where the call ends.
            if length.replace(told).is_some_and(|other| other != told) {
                return Err(Status::BadRequest);
            }
        }
    }
    let length = length
        .map_or(Ok(0), str::parse::<usize>)
        .ok()
        .filter(|n| *n <= MAX_BODY);
    let length = length.ok_or(Status::ContentTooLarge)?;
    let Some(body) = bytes.get(size..size + length) else {
        return Ok(None);
    };
    let path = head.path.unwrap_or_default();
    let path = path.split_once('?').map_or(path, |(path, _)| path);
    Ok(Some(Call {
        method: head.method.unwrap_or_default(),
        path,
        body,
    }))
}

fn digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())
}

/// The whole answer to a call, after which the connection closes.
#[must_use]
pub fn response(status: Status, body: &str) -> Vec<u8> {
    let (code, phrase) = (status as u16, status.phrase());
    // 405 owes the methods of its path; every path here has one of these two.
    let allow = if status == Status::MethodNotAllowed {
        "Allow: GET, PUT\r\n"
    } else {
        ""
    };
    format!(
        "HTTP/1.1 {code} {phrase}\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\n\
         Content-Length: {}\r\n{allow}Connection: close\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::indexing_slicing)]
mod tests {
    use super::*;

    /// A call is the same wherever it is cut, and nothing shorter passes for it.
    #[test]
    fn a_call_may_come_in_any_pieces() {
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

    /// What is no call, or is longer than a call may be, is told apart from one that is not yet whole.
    #[test]
    fn what_is_no_call_gets_its_status() {
        let long = format!("GET /{} HTTP/1.1\r\n", "a".repeat(MAX_HEAD));
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
}

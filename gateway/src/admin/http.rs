//! The subset of HTTP/1.1 that the management API needs: one call per connection.

/// The maximum size of a call's head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The maximum size of a call's body.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// The maximum number of headers of a call.
const MAX_HEADERS: usize = 64;

/// The status codes of the management API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The call was carried out.
    Ok = 200,
    /// The call or its body can't be parsed.
    BadRequest = 400,
    /// The path or the engine does not exist.
    NotFound = 404,
    /// The path does not support the method.
    MethodNotAllowed = 405,
    /// The call did not arrive completely in time.
    RequestTimeout = 408,
    /// The call has a `Transfer-Encoding` header, so the length of its body is not known in
    /// advance.
    LengthRequired = 411,
    /// The call has to go to another instance.
    Conflict = 409,
    /// The body is too long.
    ContentTooLarge = 413,
    /// The head is too long.
    HeadTooLarge = 431,
    /// The gateway can't carry out the call now, or is not ready.
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

/// A complete call, which borrows from the input buffer.
#[derive(Debug, PartialEq, Eq)]
pub struct Call<'a> {
    /// The HTTP method as the client sent it.
    pub method: &'a str,
    /// The path, without the query string.
    pub path: &'a str,
    /// The body, of at most [`MAX_BODY_BYTES`].
    pub body: &'a [u8],
}

/// Parses the call at the start of `bytes`. Returns `None` if it is not complete yet.
///
/// # Errors
///
/// Returns the status to answer with if the bytes are not a valid call, or the call is too long.
pub fn parse(bytes: &[u8]) -> Result<Option<Call<'_>>, Status> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let size = match head.parse(bytes) {
        Ok(httparse::Status::Complete(size)) if size <= MAX_HEAD_BYTES => size,
        Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Status::HeadTooLarge),
        Err(_) => return Err(Status::BadRequest),
    };
    let length = body_length(head.headers)?;
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

/// Returns the length of the body as the headers state it; 0 if they state none.
fn body_length(headers: &[httparse::Header<'_>]) -> Result<usize, Status> {
    let mut length = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Status::LengthRequired);
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let stated = std::str::from_utf8(header.value).ok().map(str::trim);
            let stated = stated
                .filter(|text| is_digits(text))
                .ok_or(Status::BadRequest)?;
            // If two lengths differ, the end of the call is ambiguous.
            if length.replace(stated).is_some_and(|other| other != stated) {
                return Err(Status::BadRequest);
            }
        }
    }
    let length = length.map_or(Ok(0), str::parse::<usize>);
    let length = length.ok().filter(|length| *length <= MAX_BODY_BYTES);
    length.ok_or(Status::ContentTooLarge)
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Formats the complete answer to a call. It tells the client that the connection closes.
#[must_use]
pub fn response(status: Status, body: &str) -> Vec<u8> {
    let (code, phrase) = (status as u16, status.phrase());
    // A 405 response has to name the allowed methods. Every path supports one of these two.
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
mod tests;

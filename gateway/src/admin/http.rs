//! HTTP/1.1, as far as one call to a connection needs it.

/// The longest head and the longest body of a call.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_BODY_BYTES: usize = 4 * 1024;
/// The most headers of a call.
const MAX_HEADERS: usize = 64;

/// Status codes that are given here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The call was carried out.
    Ok = 200,
    /// The call, or its body, can't be read.
    BadRequest = 400,
    /// No such path, or no such engine.
    NotFound = 404,
    /// The path has another method.
    MethodNotAllowed = 405,
    /// The call was not complete in time.
    RequestTimeout = 408,
    /// A body without its length.
    LengthRequired = 411,
    /// Another instance has to be called.
    Conflict = 409,
    /// The body is too long.
    ContentTooLarge = 413,
    /// The head is too long.
    HeadTooLarge = 431,
    /// Not at the moment.
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

/// One complete call.
#[derive(Debug, PartialEq, Eq)]
pub struct Call<'a> {
    /// The method.
    pub method: &'a str,
    /// The path, without its query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// Reads the call at the start of `bytes`; `None` while it is not yet complete.
///
/// # Errors
///
/// The bytes are no call, or one that is too long.
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

/// The length of the body, as the headers state it.
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
            // Two lengths that differ leave it open where the call ends.
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

/// The complete answer to a call, after which the connection closes.
#[must_use]
pub fn response(status: Status, body: &str) -> Vec<u8> {
    let (code, phrase) = (status as u16, status.phrase());
    // 405 has to name the methods of its path; every path here has one of these two.
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

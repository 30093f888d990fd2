//! HTTP errors of the REST front end and the cluster API.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderValue, ALLOW, CACHE_CONTROL, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use violetgate_policy::interface::Micros;

/// The media type of an error's body (RFC 9457).
pub const PROBLEM_JSON: &str = "application/problem+json";
const MICROS_PER_MS: Micros = 1_000;
const MICROS_PER_SECOND: Micros = 1_000_000;

/// An HTTP error response with a problem details body (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpError {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The last part of the problem type, `urn:violetgate:problem:KIND`.
    pub kind: &'static str,
    /// A description of the error for the reader of the response.
    pub detail: String,
    /// The time in microseconds after which a retry may succeed.
    pub retry_after: Option<Micros>,
    /// The methods that the path supports, if the request used another one.
    pub allow: Option<&'static str>,
    /// Whether the connection closes after the response, because the rest of the request was not
    /// read.
    pub closes_connection: bool,
}

#[derive(Serialize)]
struct ProblemBody<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl HttpError {
    /// Creates an error without retry time that leaves the connection open.
    #[must_use]
    pub fn new(status: StatusCode, kind: &'static str, detail: impl Into<String>) -> Self {
        HttpError {
            status,
            kind,
            detail: detail.into(),
            retry_after: None,
            allow: None,
            closes_connection: false,
        }
    }

    /// Creates the error for a method that the path does not support; `allow` lists the methods
    /// that it does.
    #[must_use]
    pub fn method_not_allowed(allow: &'static str) -> Self {
        let detail = format!("this path takes {allow}");
        HttpError {
            allow: Some(allow),
            ..Self::new(StatusCode::METHOD_NOT_ALLOWED, "method-not-allowed", detail)
        }
    }

    /// Sets the time in microseconds after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Micros) -> Self {
        HttpError {
            retry_after: Some(retry_after),
            ..self
        }
    }

    /// Makes the connection close after the response.
    #[must_use]
    pub fn closing(self) -> Self {
        HttpError {
            closes_connection: true,
            ..self
        }
    }

    /// Returns the body of the response, as JSON.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        let body = ProblemBody {
            r#type: format!("urn:violetgate:problem:{}", self.kind),
            title: self.status.canonical_reason().unwrap_or("Error"),
            status: self.status.as_u16(),
            detail: &self.detail,
            retry_after_ms: self.retry_after.map(|at| at.div_ceil(MICROS_PER_MS)),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Returns the value of the `Retry-After` header in seconds, rounded up and at least 1.
    #[must_use]
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after
            .map(|at| at.div_ceil(MICROS_PER_SECOND).max(1))
    }

    /// Returns the complete HTTP response.
    #[must_use]
    pub fn response(&self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::from(self.body()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        if let Some(seconds) = self.retry_after_seconds() {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(allow) = self.allow {
            headers.insert(ALLOW, HeaderValue::from_static(allow));
        }
        if self.closes_connection {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

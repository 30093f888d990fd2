//! Errors over HTTP, as the REST front end and the cluster API report them.

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

/// Why a call over HTTP failed: application/problem+json (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpError {
    /// The status.
    pub status: StatusCode,
    /// The last part of its type.
    pub kind: &'static str,
    /// What went wrong, in words.
    pub detail: String,
    /// After how many microseconds a retry may succeed.
    pub retry_after: Option<Micros>,
    /// The methods that the path takes, where another one was used.
    pub allow: Option<&'static str>,
    /// Nothing that follows on this connection can be read.
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
    /// An error of a kind.
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

    /// The path takes other methods.
    #[must_use]
    pub fn method_not_allowed(allow: &'static str) -> Self {
        let detail = format!("this path takes {allow}");
        HttpError {
            allow: Some(allow),
            ..Self::new(StatusCode::METHOD_NOT_ALLOWED, "method-not-allowed", detail)
        }
    }

    /// With the time in microseconds after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Micros) -> Self {
        HttpError {
            retry_after: Some(retry_after),
            ..self
        }
    }

    /// With the end of the connection.
    #[must_use]
    pub fn closing(self) -> Self {
        HttpError {
            closes_connection: true,
            ..self
        }
    }

    /// Its body.
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

    /// Seconds for the Retry-After header, rounded up, at least one.
    #[must_use]
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after
            .map(|at| at.div_ceil(MICROS_PER_SECOND).max(1))
    }

    /// The response that reports it.
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

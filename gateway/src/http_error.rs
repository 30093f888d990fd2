//! Errors over HTTP, as the REST front and the cluster's API tell them.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderValue, ALLOW, CACHE_CONTROL, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use violetgate_policy::interface::Micros;

/// Why a call over HTTP gets nothing else: application/problem+json (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpError {
    /// The status.
    pub status: StatusCode,
    /// The last part of its type.
    pub kind: &'static str,
    /// What it is, in words.
    pub detail: String,
    /// When another try may fare better.
    pub retry_after: Option<Micros>,
    /// Nothing that follows on this connection can be read.
    pub closes: bool,
}

impl HttpError {
    /// A problem of a kind.
    #[must_use]
    pub fn new(status: StatusCode, kind: &'static str, detail: impl Into<String>) -> Self {
        HttpError {
            status,
            kind,
            detail: detail.into(),
            retry_after: None,
            closes: false,
        }
    }

    /// With the time after which another try may fare better.
    #[must_use]
    pub fn after(self, retry_after: Micros) -> Self {
        HttpError {
            retry_after: Some(retry_after),
            ..self
        }
    }

    /// With the end of the connection.
    #[must_use]
    pub fn closing(self) -> Self {
        HttpError {
            closes: true,
            ..self
        }
    }

    /// Its body: application/problem+json (RFC 9457).
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        #[derive(Serialize)]
        struct Body<'a> {
            r#type: String,
            title: &'a str,
            status: u16,
            detail: &'a str,
            #[serde(skip_serializing_if = "Option::is_none")]
            retry_after_ms: Option<u64>,
        }
        let body = Body {
            r#type: format!("urn:violetgate:problem:{}", self.kind),
            title: self.status.canonical_reason().unwrap_or("Error"),
            status: self.status.as_u16(),
            detail: &self.detail,
            retry_after_ms: self.retry_after.map(|at| at.div_ceil(1000)),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// Whole seconds for the Retry-After header, at least one.
    #[must_use]
    pub fn retry_seconds(&self) -> Option<u64> {
        self.retry_after.map(|at| at.div_ceil(1_000_000).max(1))
    }

    /// The answer that tells it.
    #[must_use]
    pub fn response(&self) -> Response<Full<Bytes>> {
        let mut reply = Response::new(Full::from(self.body()));
        *reply.status_mut() = self.status;
        let headers = reply.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        if let Some(seconds) = self.retry_seconds() {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.status == StatusCode::METHOD_NOT_ALLOWED {
            let allow = self
                .detail
                .rsplit("takes ")
                .next()
                .and_then(|a| HeaderValue::from_str(a).ok());
            headers.extend(allow.map(|a| (ALLOW, a)));
        }
        if self.closes {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }
}

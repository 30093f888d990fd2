//! What the API's answers are made of.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderValue, CACHE_CONTROL, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use serde_json::{json, Value};
use violetgate_replicated_state::Revision;

use crate::http_error::HttpError;

pub(super) type Reply = Response<Full<Bytes>>;
pub(super) type ReplyResult = Result<Reply, HttpError>;

/// A request that can't be used.
pub(super) fn invalid_request(detail: impl Into<String>) -> HttpError {
    HttpError::new(StatusCode::BAD_REQUEST, "invalid-request", detail)
}

/// A reply with a body of a media type.
pub(super) fn reply(media_type: &'static str, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::from(body));
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

/// A reply of JSON.
pub(super) fn json_reply(value: &Value) -> Reply {
    reply("application/json", format!("{value}\n").into_bytes())
}

/// A reply that names the revision that a change made.
pub(super) fn revision_reply(revision: Revision) -> Reply {
    json_reply(&json!({"revision": revision}))
}

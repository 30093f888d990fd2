//! Helpers that build the answers of the cluster API.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderValue, CACHE_CONTROL, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use serde_json::{json, Value};
use violetgate_replicated_state::Revision;

use crate::http_error::HttpError;

pub(super) type Reply = Response<Full<Bytes>>;
pub(super) type ReplyResult = Result<Reply, HttpError>;

/// Creates the error for a request that is not valid.
pub(super) fn invalid_request(detail: impl Into<String>) -> HttpError {
    HttpError::new(StatusCode::BAD_REQUEST, "invalid-request", detail)
}

/// Creates a reply with a body of the given media type.
pub(super) fn reply(media_type: &'static str, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::from(body));
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    reply
}

/// Creates a reply with a JSON body.
pub(super) fn json_reply(value: &Value) -> Reply {
    reply("application/json", format!("{value}\n").into_bytes())
}

/// Creates a reply that contains the revision of a committed change.
pub(super) fn revision_reply(revision: Revision) -> Reply {
    json_reply(&json!({"revision": revision}))
}

//! Parses requests and formats answers of the REST protocol, without I/O.

use std::borrow::Cow;

use hyper::header::{HeaderMap, CONTENT_TYPE};
use hyper::{Method, StatusCode};
use serde::ser::{SerializeSeq, SerializeStruct};
use serde::{Deserialize, Serialize, Serializer};
use violetgate_policy::interface::{Micros, QueryId};

use crate::config::NameTable;
use crate::exchange::Request;
use crate::http_error::HttpError;
use crate::request_validation::{InvalidField, RawRequest, RequestField};

const QUERIES_PATH: &str = "/v1/queries";
/// The maximum number of digits of a page number.
const MAX_PAGE_DIGITS: usize = 6;
const MICROS_PER_MS: Micros = 1_000;

/// The operation that a path and a method select.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// `POST /v1/queries`
    Query,
    /// `GET /v1/queries/{token}/pages/{page}`
    Page {
        /// The token of the result.
        token: &'a str,
        /// The page number, from 1.
        page: usize,
    },
    /// `DELETE /v1/queries/{token}`
    Delete {
        /// The token of the result.
        token: &'a str,
    },
    /// The path does not support the method.
    MethodNotAllowed {
        /// The methods that the path supports, as the `Allow` header lists them.
        allow: &'static str,
    },
    /// The path does not exist.
    NotFound,
}

/// Returns the operation that a path and a method select.
#[must_use]
pub fn route<'a>(method: &Method, path: &'a str) -> Route<'a> {
    let Some(rest) = path.strip_prefix(QUERIES_PATH) else {
        return Route::NotFound;
    };
    if rest.is_empty() {
        return if method == Method::POST {
            Route::Query
        } else {
            Route::MethodNotAllowed { allow: "POST" }
        };
    }
    let Some(rest) = rest.strip_prefix('/') else {
        return Route::NotFound;
    };
    let parts: Vec<&str> = rest.split('/').collect();
    match parts[..] {
        [token] if !token.is_empty() => {
            if method == Method::DELETE {
                Route::Delete { token }
            } else {
                Route::MethodNotAllowed { allow: "DELETE" }
            }
        }
        [token, "pages", page] => match parse_page_number(page) {
            Some(page) if method == Method::GET || method == Method::HEAD => {
                Route::Page { token, page }
            }
            Some(_) => Route::MethodNotAllowed { allow: "GET, HEAD" },
            None => Route::NotFound,
        },
        _ => Route::NotFound,
    }
}

fn parse_page_number(text: &str) -> Option<usize> {
    let is_plain = text.len() <= MAX_PAGE_DIGITS
        && text.bytes().all(|byte| byte.is_ascii_digit())
        && !text.starts_with('0');
    text.parse().ok().filter(|_| is_plain)
}

/// The body of `POST /v1/queries`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct QueryBody<'a> {
    #[serde(borrow)]
    class: Option<Cow<'a, str>>,
    #[serde(borrow)]
    tenant: Option<Cow<'a, str>>,
    #[serde(borrow)]
    statement: Option<Cow<'a, str>>,
    budget_ms: Option<f64>,
    estimate_ms: Option<f64>,
    estimate_mb: Option<f64>,
    #[serde(borrow)]
    order_key: Option<Cow<'a, str>>,
}

fn field_name(field: RequestField) -> &'static str {
    match field {
        RequestField::Class => "class",
        RequestField::Id => "id",
        RequestField::Budget => "budget_ms",
        RequestField::Tenant => "tenant",
        RequestField::IdempotencyKey => "Idempotency-Key",
        RequestField::Work => "estimate_ms",
        RequestField::Memory => "estimate_mb",
        RequestField::OrderingKey => "order_key",
        RequestField::RetryMark => "again",
        RequestField::Statement => "statement",
    }
}

fn invalid_request(detail: impl Into<String>) -> HttpError {
    HttpError::new(StatusCode::BAD_REQUEST, "invalid-request", detail)
}

/// Parses a query. `id` becomes its request id, and `received` is the time at which its last byte
/// was read.
///
/// # Errors
///
/// Returns the error to answer with if a header or the body is not valid.
pub fn parse_query(
    headers: &HeaderMap,
    body: &[u8],
    names: &NameTable,
    id: &str,
    received: Micros,
) -> Result<Request, HttpError> {
    check_media_type(headers)?;
    let body: QueryBody<'_> = serde_json::from_slice(body)
        .map_err(|error| invalid_request(format!("the body: {error}")))?;
    let idempotency_key = idempotency_key(headers)?;
    let class = body.class.as_deref();
    if idempotency_key.is_some() && rejects_key(class, names) {
        return Err(invalid_request(
            "`Idempotency-Key` is given, but this class heeds none",
        ));
    }
    let raw = RawRequest {
        class,
        id: Some(id),
        budget_ms: body.budget_ms,
        tenant: body.tenant.as_deref(),
        idempotency_key,
        estimated_work_ms: body.estimate_ms,
        estimated_memory_mb: body.estimate_mb,
        ordering_key: body.order_key.as_deref(),
        retry_mark: None,
        statement: body.statement.as_deref().unwrap_or_default().as_bytes(),
    };
    raw.validate(names, received)
        .map_err(|InvalidField { field, error }| {
            invalid_request(format!("`{}` {error}", field_name(field)))
        })
}

/// Checks that the media type of a body, if stated, is JSON. The media type of an HTML form is
/// accepted, too, because curl sends it by default with `--data`.
fn check_media_type(headers: &HeaderMap) -> Result<(), HttpError> {
    let Some(value) = headers.get(CONTENT_TYPE) else {
        return Ok(());
    };
    let value = value.to_str().unwrap_or_default();
    let media_type = value.split(';').next().unwrap_or_default().trim();
    if media_type.eq_ignore_ascii_case("application/json")
        || media_type.eq_ignore_ascii_case("application/x-www-form-urlencoded")
    {
        return Ok(());
    }
    Err(HttpError::new(
        StatusCode::UNSUPPORTED_MEDIA_TYPE,
        "unsupported-media-type",
        "the body has to be application/json",
    ))
}

/// Returns the idempotency key. Most clients send it without quotes. It may also be a string in
/// quotes, as structured fields of HTTP (RFC 8941) are written.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, HttpError> {
    let mut values = headers.get_all("idempotency-key").iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(invalid_request("`Idempotency-Key` is given twice"));
    }
    let value = value
        .to_str()
        .map_err(|_| invalid_request("`Idempotency-Key` is no text"))?;
    let quoted = value
        .strip_prefix('"')
        .and_then(|value| value.strip_suffix('"'));
    Ok(Some(quoted.unwrap_or(value)))
}

/// Returns whether the class is known and its requests must not have an idempotency key.
fn rejects_key(class: Option<&str>, names: &NameTable) -> bool {
    let known = |name| names.classes.iter().filter(move |class| class.name == name);
    class.is_some_and(|name| {
        known(name).next().is_some() && !known(name).any(|class| class.takes_idempotency_key)
    })
}

/// The token and the expiry time with which a client fetches further pages of a result.
#[derive(Debug, Clone, Copy)]
pub struct Continuation<'a> {
    /// The token of the result.
    pub token: &'a str,
    /// The time at which the result expires, in microseconds since the Unix epoch.
    pub expires_at: Micros,
}

/// A page of a result. It serialises to the body of the answer.
#[derive(Debug)]
pub struct Page<'a> {
    /// The continuation of a stored result; `None` if the result has only one page.
    pub continuation: Option<Continuation<'a>>,
    /// The id of the query, which also appears in the logs of engines.
    pub query: QueryId,
    /// The page number, from 1.
    pub page: usize,
    /// The number of pages of the result.
    pub page_count: usize,
    /// The rows as the engine sent them: tabs separate columns, and a newline ends each row.
    pub rows: &'a [u8],
}

impl Page<'_> {
    /// Returns the path of the next page, if there is one.
    #[must_use]
    pub fn next(&self) -> Option<String> {
        let continuation = self.continuation.filter(|_| self.page < self.page_count)?;
        let (token, next) = (continuation.token, self.page + 1);
        Some(format!("{QUERIES_PATH}/{token}/pages/{next}"))
    }

    /// Returns the JSON body. The same page gives the same bytes each time it is fetched.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        // Quotes and commas add up to about half of the rows' size.
        let mut out = Vec::with_capacity(self.rows.len() * 3 / 2 + 256);
        let _ = serde_json::to_writer(&mut out, self);
        out
    }
}

impl Serialize for Page<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut page = serializer.serialize_struct("Page", 7)?;
        page.serialize_field("query", &format!("{:016x}", self.query))?;
        page.serialize_field("page", &self.page)?;
        page.serialize_field("pages", &self.page_count)?;
        if let Some(continuation) = self.continuation {
            let until_ms = Some(continuation.expires_at / MICROS_PER_MS);
            page.serialize_field("id", continuation.token)?;
            page.serialize_field("next", &self.next())?;
            page.serialize_field("until_ms", &until_ms)?;
        }
        page.serialize_field("rows", &Rows(self.rows))?;
        page.end()
    }
}

/// Serialises rows as an array of arrays of columns.
struct Rows<'a>(&'a [u8]);

impl Serialize for Rows<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        // The upstream side has checked that the rows are valid UTF-8.
        let text = std::str::from_utf8(self.0).unwrap_or_default();
        let mut rows = serializer.serialize_seq(None)?;
        for row in text.split_inclusive('\n') {
            rows.serialize_element(&Row(row.strip_suffix('\n').unwrap_or(row)))?;
        }
        rows.end()
    }
}

struct Row<'a>(&'a str);

impl Serialize for Row<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut columns = serializer.serialize_seq(None)?;
        for column in self.0.split('\t') {
            columns.serialize_element(column)?;
        }
        columns.end()
    }
}

#[cfg(test)]
mod tests;

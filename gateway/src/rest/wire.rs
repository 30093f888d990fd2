//! What is said over REST, as text: requests read, answers written. It knows the protocol and nothing behind it;
//! it does no I/O.

use hyper::header::{HeaderMap, CONTENT_TYPE};
use hyper::{Method, StatusCode};
use serde::ser::{SerializeSeq, SerializeStruct};
use serde::{Deserialize, Serialize, Serializer};
use violetgate_result_store::Micros;

use crate::config::NameTable;
use crate::exchange::Request;
use crate::http_error::HttpError;
use crate::request_validation::{InvalidField, RawRequest, RequestField};

/// What a path and a method ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// `POST /v1/queries`
    Ask,
    /// `GET /v1/queries/{id}/pages/{n}`, pages from 1.
    Page(&'a str, usize),
    /// `DELETE /v1/queries/{id}`
    Delete(&'a str),
    /// The path is served, by these methods.
    Not(&'static str),
    /// No such path.
    Nowhere,
}

/// Finds what is asked for.
#[must_use]
pub fn route<'a>(method: &Method, path: &'a str) -> Route<'a> {
    let mut parts = path.strip_prefix("/v1/queries").unwrap_or("//").split('/');
    let reads = method == Method::GET || method == Method::HEAD;
    match (
        parts.next(),
        parts.next(),
        parts.next(),
        parts.next(),
        parts.next(),
    ) {
        (Some(""), None, ..) if method == Method::POST => Route::Ask,
        (Some(""), None, ..) => Route::Not("POST"),
        (Some(""), Some(id), None, ..) if !id.is_empty() => {
            if method == Method::DELETE {
                Route::Delete(id)
            } else {
                Route::Not("DELETE")
            }
        }
        (Some(""), Some(id), Some("pages"), Some(n), None) => {
            let plain =
                n.len() <= 6 && n.bytes().all(|b| b.is_ascii_digit()) && !n.starts_with('0');
            match n.parse().ok().filter(|_| plain) {
                Some(n) if reads => Route::Page(id, n),
                Some(_) => Route::Not("GET, HEAD"),
                None => Route::Nowhere,
            }
        }
        _ => Route::Nowhere,
    }
}

/// The body of `POST /v1/queries`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Ask<'a> {
    #[serde(borrow)]
    class: Option<std::borrow::Cow<'a, str>>,
    #[serde(borrow)]
    tenant: Option<std::borrow::Cow<'a, str>>,
    #[serde(borrow)]
    statement: Option<std::borrow::Cow<'a, str>>,
    budget_ms: Option<f64>,
    estimate_ms: Option<f64>,
    estimate_mb: Option<f64>,
    #[serde(borrow)]
    order_key: Option<std::borrow::Cow<'a, str>>,
}

fn name(part: RequestField) -> &'static str {
    match part {
        RequestField::Class => "class",
        RequestField::Id => "id",
        RequestField::Budget => "budget_ms",
        RequestField::Tenant => "tenant",
        RequestField::Token => "Idempotency-Key",
        RequestField::Work => "estimate_ms",
        RequestField::Memory => "estimate_mb",
        RequestField::Key => "order_key",
        RequestField::Again => "again",
        RequestField::Statement => "statement",
    }
}

/// Reads a query whose last byte came at `received` and that goes by the id `rid`.
///
/// # Errors
///
/// It can't be used; the problem says why.
pub fn ask(
    headers: &HeaderMap,
    body: &[u8],
    names: &NameTable,
    rid: &str,
    received: Micros,
) -> Result<Request, HttpError> {
    let bad = |detail: String| HttpError::new(StatusCode::BAD_REQUEST, "invalid-request", detail);
    let kind = headers
        .get(CONTENT_TYPE)
        .map(|v| v.to_str().unwrap_or_default());
    // curl says the other one for any --data, and means nothing by it.
    let json = |v: &str| {
        let v = v.split(';').next().unwrap_or_default().trim();
        v.eq_ignore_ascii_case("application/json")
            || v.eq_ignore_ascii_case("application/x-www-form-urlencoded")
    };
    if kind.is_some_and(|v| !json(v)) {
        let status = StatusCode::UNSUPPORTED_MEDIA_TYPE;
        return Err(HttpError::new(
            status,
            "unsupported-media-type",
            "the body has to be application/json",
        ));
    }
    let ask: Ask<'_> = serde_json::from_slice(body).map_err(|e| bad(format!("the body: {e}")))?;
    let mut keys = headers.get_all("idempotency-key").iter();
    let token = match (keys.next(), keys.next()) {
        (None, _) => None,
        (Some(value), None) => {
            let value = value
                .to_str()
                .map_err(|_| bad("`Idempotency-Key` is no text".to_owned()))?;
            // A structured field (a string in quotes), or the bare words that most clients send.
            Some(
                value
                    .strip_prefix('"')
                    .and_then(|v| v.strip_suffix('"'))
                    .unwrap_or(value),
            )
        }
        (Some(_), Some(_)) => return Err(bad("`Idempotency-Key` is given twice".to_owned())),
    };
    let class = ask.class.as_deref();
    let keyed = class.is_some_and(|c| {
        names
            .classes
            .iter()
            .any(|(name, keyed)| name == c && *keyed)
    });
    if token.is_some() && class.is_some() && !keyed {
        let known = names
            .classes
            .iter()
            .any(|(name, _)| Some(name.as_str()) == class);
        if known {
            return Err(bad(
                "`Idempotency-Key` is given, but this class heeds none".to_owned()
            ));
        }
    }
    let asked = RawRequest {
        class,
        id: Some(rid),
        budget: ask.budget_ms,
        tenant: ask.tenant.as_deref(),
        token,
        work: ask.estimate_ms,
        memory: ask.estimate_mb,
        key: ask.order_key.as_deref(),
        again: None,
        statement: ask.statement.as_deref().unwrap_or_default().as_bytes(),
    };
    asked
        .request(names, received)
        .map_err(|InvalidField { part, what }| bad(format!("`{}` {what}", name(part))))
}

/// One page of a result, as it is written.
#[derive(Debug)]
pub struct Page<'a> {
    /// The result's token; `None` where there is no further page to ask for.
    pub id: Option<&'a str>,
    /// The query's id, as engines' logs have it.
    pub query: u64,
    /// Which page, from 1.
    pub page: usize,
    /// How many there are.
    pub pages: usize,
    /// Until when they may be fetched: Unix time in milliseconds.
    pub until: Option<Micros>,
    /// The rows as the engine sent them.
    pub rows: &'a [u8],
}

/// The path of a page.
#[must_use]
pub fn path(id: &str, page: usize) -> String {
    format!("/v1/queries/{id}/pages/{page}")
}

impl Page<'_> {
    /// The path of the next page, if there is one.
    #[must_use]
    pub fn next(&self) -> Option<String> {
        self.id
            .filter(|_| self.page < self.pages)
            .map(|id| path(id, self.page + 1))
    }

    /// Its body. The same page gives the same bytes, whenever it is asked for.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.rows.len() * 3 / 2 + 256);
        let _ = serde_json::to_writer(&mut out, self);
        out
    }
}

impl Serialize for Page<'_> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let mut s = to.serialize_struct("Page", 7)?;
        s.serialize_field("query", &format!("{:016x}", self.query))?;
        s.serialize_field("page", &self.page)?;
        s.serialize_field("pages", &self.pages)?;
        if let Some(id) = self.id {
            s.serialize_field("id", id)?;
            s.serialize_field("next", &self.next())?;
            s.serialize_field("until_ms", &self.until.map(|t| t / 1000))?;
        }
        s.serialize_field("rows", &Rows(self.rows))?;
        s.end()
    }
}

struct Rows<'a>(&'a [u8]);

impl Serialize for Rows<'_> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        // The engine side lets nothing else pass.
        let text = std::str::from_utf8(self.0).unwrap_or_default();
        let mut rows = to.serialize_seq(None)?;
        for row in text.split_inclusive('\n') {
            rows.serialize_element(&Row(row.strip_suffix('\n').unwrap_or(row)))?;
        }
        rows.end()
    }
}

struct Row<'a>(&'a str);

impl Serialize for Row<'_> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let mut row = to.serialize_seq(None)?;
        for column in self.0.split('\t') {
            row.serialize_element(column)?;
        }
        row.end()
    }
}

#[cfg(test)]
#[allow(clippy::unwrap_used, clippy::indexing_slicing)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn names() -> NameTable {
        let classes = vec![("report".to_owned(), false), ("load".to_owned(), true)];
        NameTable {
            classes,
            tenants: vec!["north".to_owned()],
            ..NameTable::default()
        }
    }

    const GOOD: &str = r#"{"class":"load","tenant":"north","budget_ms":1500,"estimate_ms":8.5,"estimate_mb":96,
        "order_key":"7f3a9c21e0b4d655","statement":"SELECT '\u00fc' FROM sales_17.plan"}"#;

    proptest! {
        /// Whatever a client sends as a body, a header or a path is a request, a route or an error.
        #[test]
        fn nothing_that_a_client_sends_panics(
            body in proptest::collection::vec(any::<u8>(), 0..200),
            cut in 0..GOOD.len(), at in 0..GOOD.len(), byte in any::<u8>(),
            key in "[ -~]{0,80}", path in "/?v?1?/?queries[/a-z0-9.%-]{0,40}",
        ) {
            let mut headers = HeaderMap::new();
            headers.insert("idempotency-key", key.parse().unwrap());
            let mut bent = GOOD.as_bytes().to_vec();
            bent.splice(at..=at, [byte]);
            for body in [&body[..], GOOD.as_bytes().get(..cut).unwrap(), &bent] {
                let read = ask(&headers, body, &names(), "00000000000000a1", 5);
                if let Ok(request) = read {
                    prop_assert!(request.query.client_timeout <= 86_400_000_000 && request.token.is_some());
                }
            }
            for method in [Method::GET, Method::POST, Method::DELETE] {
                if let Route::Page(id, n) = route(&method, &path) {
                    prop_assert!(n >= 1 && !id.contains('/'));
                }
            }
        }

        /// Rows come out as the engine sent them, whatever text they hold.
        #[test]
        fn rows_are_told_as_they_are(rows in proptest::collection::vec(["[^\t\n\0]{0,9}", "[^\t\n\0]{0,3}", "\\PC{0,3}"], 0..9)) {
            let clean = |c: &String| c.replace(['\t', '\n'], " ");
            let rows: Vec<Vec<String>> = rows.iter().map(|r| r.iter().map(clean).collect()).collect();
            let text: String = rows.iter().map(|r| r.join("\t") + "\n").collect();
            let page = Page { id: Some("x"), query: 1, page: 1, pages: 2, until: Some(7_000), rows: text.as_bytes() };
            let read: serde_json::Value = serde_json::from_slice(&page.body()).unwrap();
            prop_assert_eq!(serde_json::from_value::<Vec<Vec<String>>>(read["rows"].clone()).unwrap(), rows);
            prop_assert_eq!(read["next"].as_str(), Some("/v1/queries/x/pages/2"));
        }
    }
}

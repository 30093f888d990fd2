//! The fields of a query: the comment ahead of its statement.

use linnetreach::interface::{Micros, NewQuery};

use super::tables;
use crate::config::Names;
use crate::exchange::Request;

/// The most of anything that is believed: a day of waiting or of work, in milliseconds, and as many megabytes.
/// A figure beyond it is no estimate: taken as one, it would weigh more than all other queries together.
const MOST: f64 = 86_400_000.0;
/// A token has at most this many bytes.
const MAX_TOKEN: usize = 64;

/// Whether a query is empty: white space, line comments and semicolons only. One that begins as a request
/// does, with a comment for its fields, is a request that can't be used, and its client is owed an error.
#[must_use]
pub fn is_empty(sql: &[u8]) -> bool {
    !sql.trim_ascii_start().starts_with(b"/*") && tables::tokens(sql).all(|t| t == tables::Token::Other(b';'))
}

/// Reads a query's fields and statement.
///
/// # Errors
///
/// A field is missing or can't be used; the text says which.
pub fn request(sql: &[u8], names: &Names, received: Micros) -> Result<Request, String> {
    let sql = sql.trim_ascii_start();
    let comment = sql.strip_prefix(b"/*").ok_or("no comment with fields ahead of the statement")?;
    let end = memchr::memmem::find(comment, b"*/").ok_or("the comment with fields has no end")?;
    let (fields, statement) = comment.split_at_checked(end).unwrap_or_default();
    let statement = statement.get(2..).unwrap_or_default().trim_ascii_start();
    if tables::tokens(statement).all(|t| t == tables::Token::Other(b';')) {
        return Err("the statement is missing".to_owned());
    }
    let fields = std::str::from_utf8(fields).map_err(|_| "fields are not text")?.trim();
    let mut found = Found::default();
    for field in fields.split(',').map(str::trim) {
        let (name, value) = field.split_once('=').ok_or_else(|| format!("field {field:?} has no value"))?;
        let place = match name {
            "method" => &mut found.method,
            "rid" => &mut found.rid,
            "budget" => &mut found.budget,
            "acct" => &mut found.acct,
            "token" => &mut found.token,
            "est" => &mut found.est,
            "est_mb" => &mut found.est_mb,
            "obj" => &mut found.obj,
            _ => continue,
        };
        if place.replace(value).is_some() {
            return Err(format!("field `{name}` is given twice"));
        }
    }
    found.request(statement, names, received)
}

#[derive(Default)]
struct Found<'a> {
    method: Option<&'a str>,
    rid: Option<&'a str>,
    budget: Option<&'a str>,
    acct: Option<&'a str>,
    token: Option<&'a str>,
    est: Option<&'a str>,
    est_mb: Option<&'a str>,
    obj: Option<&'a str>,
}

impl Found<'_> {
    fn request(self, statement: &[u8], names: &Names, received: Micros) -> Result<Request, String> {
        let need = |value: Option<_>, name: &str| value.ok_or_else(|| format!("field `{name}` is missing"));
        let method = need(self.method, "method")?;
        let class = names.classes.iter().position(|(n, _)| n == method);
        let class = class.ok_or_else(|| format!("field `method` names no class: {method:?}"))?;
        let keyed = names.classes.get(class).is_some_and(|c| c.1);
        let rid = need(self.rid, "rid")?;
        let id = hex(rid).ok_or("field `rid` is not 16 hex digits")?;
        let budget = measure(need(self.budget, "budget")?).filter(|ms| *ms > 0.0);
        let budget = budget.ok_or("field `budget` is no span")?;
        let tenant = match self.acct {
            None => 0,
            Some(name) => {
                names.tenants.iter().position(|n| n == name).ok_or("field `acct` names no tenant")?
            }
        };
        let plain = |t: &&str| (1..=MAX_TOKEN).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_graphic());
        let token = match self.token {
            Some(token) => Some(Some(token).filter(plain).ok_or("field `token` can't be used")?),
            None if keyed => return Err("field `token` is missing".to_owned()),
            None => None,
        };
        let number = |value: Option<&str>, name: &str| match value {
            None => Ok(None),
            Some(text) => measure(text).map(Some).ok_or_else(|| format!("field `{name}` is no number")),
        };
        let key = match self.obj {
            None => None,
            Some(text) => Some(hex(text).ok_or("field `obj` is not 16 hex digits")?),
        };
        let query = NewQuery {
            id,
            class: class as u32,
            tenant: tenant as u32,
            work: number(self.est, "est")?.map(|ms| (ms * 1e3) as Micros),
            memory_mb: number(self.est_mb, "est_mb")?.filter(|mb| *mb > 0.0),
            time_left: (budget * 1e3) as Micros,
            tables: tables::group(statement),
            key,
            repeat: false,
        };
        Ok(Request {
            query,
            received,
            rid: rid.into(),
            class: method.into(),
            token: token.map(Into::into),
            statement: statement.into(),
        })
    }
}

fn hex(text: &str) -> Option<u64> {
    let plain = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    plain.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

fn measure(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|v| (0.0..=MOST).contains(v))
}

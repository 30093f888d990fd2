//! The fields of a query: the comment ahead of its statement.

use violetgate_policy::interface::Micros;

use crate::config::NameTable;
use crate::exchange::Request;
use crate::request_validation::{self, InvalidField, RawRequest, RequestField};

/// Whether a query is empty: white space, line comments and semicolons only. One that begins as a request
/// does, with a comment for its fields, is a request that can't be used, and its client is owed an error.
#[must_use]
pub fn is_empty(sql: &[u8]) -> bool {
    !sql.trim_ascii_start().starts_with(b"/*") && request_validation::says_nothing(sql)
}

/// Reads a query's fields and statement.
///
/// # Errors
///
/// A field is missing or can't be used; the text says which.
pub fn request(sql: &[u8], names: &NameTable, received: Micros) -> Result<Request, String> {
    let sql = sql.trim_ascii_start();
    let comment = sql
        .strip_prefix(b"/*")
        .ok_or("no comment with fields ahead of the statement")?;
    let end = memchr::memmem::find(comment, b"*/").ok_or("the comment with fields has no end")?;
    let (fields, statement) = comment.split_at_checked(end).unwrap_or_default();
    let statement = statement.get(2..).unwrap_or_default().trim_ascii_start();
    if request_validation::says_nothing(statement) {
        return Err("the statement is missing".to_owned());
    }
    let fields = std::str::from_utf8(fields)
        .map_err(|_| "fields are not text")?
        .trim();
    let mut found: [Option<&str>; NAMES.len()] = Default::default();
    for field in fields.split(',').map(str::trim) {
        let (name, value) = field
            .split_once('=')
            .ok_or_else(|| format!("field {field:?} has no value"))?;
        let place = NAMES
            .iter()
            .position(|(_, n)| *n == name)
            .and_then(|i| found.get_mut(i));
        if place.is_some_and(|place| place.replace(value).is_some()) {
            return Err(format!("field `{name}` is given twice"));
        }
    }
    let [class, id, budget, tenant, token, work, memory, key, again] = found;
    // What is no number is none that can be believed, either.
    let number = |text: Option<&str>| text.map(|t| t.parse::<f64>().unwrap_or(f64::NAN));
    let asked = RawRequest {
        class,
        id,
        budget: number(budget),
        tenant,
        token,
        work: number(work),
        memory: number(memory),
        key,
        again,
        statement,
    };
    asked
        .request(names, received)
        .map_err(|InvalidField { part, what }| format!("field `{}` {what}", name(part)))
}

const NAMES: [(RequestField, &str); 9] = [
    (RequestField::Class, "method"),
    (RequestField::Id, "rid"),
    (RequestField::Budget, "budget"),
    (RequestField::Tenant, "acct"),
    (RequestField::Token, "token"),
    (RequestField::Work, "est"),
    (RequestField::Memory, "est_mb"),
    (RequestField::Key, "obj"),
    (RequestField::Again, "again"),
];

fn name(part: RequestField) -> &'static str {
    NAMES
        .iter()
        .find(|(p, _)| *p == part)
        .map_or("statement", |(_, name)| name)
}

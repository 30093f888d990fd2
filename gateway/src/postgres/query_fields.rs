//! The fields of a query, in the comment before its statement: `/* NAME=VALUE,... */ STATEMENT`.

use thiserror::Error;
use violetgate_policy::interface::Micros;

use crate::config::NameTable;
use crate::exchange::Request;
use crate::request_validation::{is_blank_statement, InvalidField, RawRequest, RequestField};

/// Why a query is no request; its text is the message for the client.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum QueryError {
    /// It does not begin with a comment.
    #[error("no comment with fields ahead of the statement")]
    NoComment,
    /// Its comment does not end.
    #[error("the comment with fields has no end")]
    OpenComment,
    /// Nothing follows the comment.
    #[error("the statement is missing")]
    NoStatement,
    /// The fields are not UTF-8.
    #[error("fields are not text")]
    NotText,
    /// A field has no `=`.
    #[error("field {0:?} has no value")]
    NoValue(String),
    /// A field is given twice.
    #[error("field `{0}` is given twice")]
    Duplicate(String),
    /// A field can't be used.
    #[error("field `{}` {}", field_name(.0.field), .0.error)]
    Invalid(InvalidField),
    /// A request of that id is open, or was a short while ago.
    #[error(
        "field `{}` names a request that is, or was just now, open",
        field_name(RequestField::Id)
    )]
    IdInUse,
}

/// The fields and their names.
const FIELDS: [(RequestField, &str); 9] = [
    (RequestField::Class, "method"),
    (RequestField::Id, "rid"),
    (RequestField::Budget, "budget"),
    (RequestField::Tenant, "acct"),
    (RequestField::IdempotencyKey, "token"),
    (RequestField::Work, "est"),
    (RequestField::Memory, "est_mb"),
    (RequestField::OrderingKey, "obj"),
    (RequestField::RetryMark, "again"),
];

fn field_name(field: RequestField) -> &'static str {
    let named = FIELDS.iter().find(|(other, _)| *other == field);
    named.map_or("statement", |(_, name)| name)
}

/// Whether a query is empty: white space, line comments and semicolons only. One that begins as a
/// request does, with a comment for its fields, is a request that can't be used, and its client
/// gets an error.
#[must_use]
pub fn is_empty(sql: &[u8]) -> bool {
    !sql.trim_ascii_start().starts_with(b"/*") && is_blank_statement(sql)
}

/// Reads a query whose last byte was read at `received`.
///
/// # Errors
///
/// It has no comment with fields, or one of them is missing or can't be used.
pub fn parse(sql: &[u8], names: &NameTable, received: Micros) -> Result<Request, QueryError> {
    let (fields, statement) = split_comment(sql)?;
    let fields = std::str::from_utf8(fields).map_err(|_| QueryError::NotText)?;
    let values = field_values(fields.trim())?;
    let [class, id, budget, tenant, idempotency_key, work, memory, ordering_key, retry_mark] =
        values;
    let raw = RawRequest {
        class,
        id,
        budget_ms: budget.map(parse_number),
        tenant,
        idempotency_key,
        estimated_work_ms: work.map(parse_number),
        estimated_memory_mb: memory.map(parse_number),
        ordering_key,
        retry_mark,
        statement,
    };
    raw.validate(names, received).map_err(QueryError::Invalid)
}

/// The text of the comment, and the statement behind it.
fn split_comment(sql: &[u8]) -> Result<(&[u8], &[u8]), QueryError> {
    let comment = sql.trim_ascii_start().strip_prefix(b"/*");
    let comment = comment.ok_or(QueryError::NoComment)?;
    let end = memchr::memmem::find(comment, b"*/").ok_or(QueryError::OpenComment)?;
    let (fields, rest) = comment.split_at_checked(end).unwrap_or_default();
    let statement = rest.get(2..).unwrap_or_default().trim_ascii_start();
    if is_blank_statement(statement) {
        return Err(QueryError::NoStatement);
    }
    Ok((fields, statement))
}

/// The values of the fields, in the order of [`FIELDS`]; unknown fields are left out.
fn field_values(text: &str) -> Result<[Option<&str>; FIELDS.len()], QueryError> {
    let mut values: [Option<&str>; FIELDS.len()] = Default::default();
    for field in text.split(',').map(str::trim) {
        let (name, value) = field
            .split_once('=')
            .ok_or_else(|| QueryError::NoValue(field.to_owned()))?;
        let position = FIELDS.iter().position(|(_, known)| *known == name);
        let place = position.and_then(|position| values.get_mut(position));
        if place.is_some_and(|place| place.replace(value).is_some()) {
            return Err(QueryError::Duplicate(name.to_owned()));
        }
    }
    Ok(values)
}

/// A number; what is none is not believable either, and fails its check.
fn parse_number(text: &str) -> f64 {
    text.parse().unwrap_or(f64::NAN)
}

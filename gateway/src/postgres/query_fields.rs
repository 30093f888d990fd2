//! Reads the fields of a query from the comment before its statement:
//! `/* NAME=VALUE,... */ STATEMENT`.

use thiserror::Error;
use violetgate_policy::interface::Micros;

use crate::config::NameTable;
use crate::exchange::Request;
use crate::request_validation::{is_blank_statement, InvalidField, RawRequest, RequestField};

/// Why a query is rejected as invalid; its text is the message for the client.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum QueryError {
    /// The query does not begin with a comment.
    #[error("no comment with fields ahead of the statement")]
    NoComment,
    /// The comment is not closed.
    #[error("the comment with fields has no end")]
    OpenComment,
    /// The comment is followed by no statement.
    #[error("the statement is missing")]
    NoStatement,
    /// The fields are not UTF-8.
    #[error("fields are not text")]
    NotText,
    /// A field has no `=`.
    #[error("field {0:?} has no value")]
    NoValue(String),
    /// The same field occurs twice.
    #[error("field `{0}` is given twice")]
    Duplicate(String),
    /// A field is missing, or its value is invalid.
    #[error("field `{}` {}", field_name(.0.field), .0.error)]
    Invalid(InvalidField),
    /// A request with the same id is open, or was closed less than 10 s ago.
    #[error(
        "field `{}` names a request that is, or was just now, open",
        field_name(RequestField::Id)
    )]
    IdInUse,
}

/// The fields and their names in the comment.
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

/// Whether a query is empty: it consists only of white space, comments and semicolons, and does not
/// begin with a `/*` comment. Such a comment contains the fields of a request; if no statement
/// follows it, the query is an error and not empty.
#[must_use]
pub fn is_empty(sql: &[u8]) -> bool {
    !sql.trim_ascii_start().starts_with(b"/*") && is_blank_statement(sql)
}

/// Parses and validates a query whose last byte was read at `received`.
///
/// # Errors
///
/// Returns an error if the query has no comment with fields or no statement, or if a field is
/// missing or invalid.
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

/// Splits a query into the text of its leading comment and the statement after it.
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

/// Returns the values of the fields in the order of [`FIELDS`], and ignores unknown fields.
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

/// Parses a number. Anything else becomes NaN, which fails the validation of the field.
fn parse_number(text: &str) -> f64 {
    text.parse().unwrap_or(f64::NAN)
}

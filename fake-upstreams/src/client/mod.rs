//! Blocking clients of a gateway, with one connection each. They implement only the parts of HTTP
//! and the PostgreSQL protocol that the tests use.

mod http;
mod postgres;

use std::io::{Error, ErrorKind};

pub use http::{HttpClient, Reply};
pub use postgres::{PostgresClient, Rows};

fn invalid_data(what: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::InvalidData, what.to_string())
}

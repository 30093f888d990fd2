//! Plain clients with one blocking connection each, as far as the clients of a gateway need.

mod http;
mod postgres;

use std::io::{Error, ErrorKind};

pub use http::{HttpClient, Reply};
pub use postgres::{PostgresClient, Rows};

fn invalid_data(what: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::InvalidData, what.to_string())
}

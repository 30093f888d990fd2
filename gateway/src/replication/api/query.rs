//! The query string of a call.

use std::collections::HashMap;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::Request;

use super::responses::invalid_request;
use crate::http_error::HttpError;

/// The timeout of a call that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum timeout. A call that states a longer one gets this one.
pub(super) const MAX_TIMEOUT: Duration = Duration::from_secs(60);
/// The number of entries or changes per page if the call states none.
const DEFAULT_PAGE_LENGTH: usize = 100;
/// The maximum number of entries or changes per page.
const MAX_PAGE_LENGTH: usize = 1_000;
/// The name of the timeout parameter, which every call accepts.
const TIMEOUT_PARAMETER: &str = "within_ms";

/// The parameters of a call, by name.
pub(super) struct Query(HashMap<String, String>);

impl Query {
    pub(super) fn read(request: &Request<Incoming>) -> Result<Self, HttpError> {
        let text = request.uri().query().unwrap_or_default();
        let pairs: Vec<(String, String)> = serde_urlencoded::from_str(text)
            .map_err(|error| invalid_request(format!("the query: {error}")))?;
        Ok(Query(pairs.into_iter().collect()))
    }

    /// Checks that the call has only parameters with these names, and the timeout. Without this
    /// check, a misspelt parameter would be ignored silently.
    pub(super) fn allow_only(&self, names: &[&str]) -> Result<(), HttpError> {
        let is_known = |name: &str| names.contains(&name) || name == TIMEOUT_PARAMETER;
        let unknown = self.0.keys().find(|name| !is_known(name));
        match unknown {
            Some(unknown) => Err(invalid_request(format!(
                "`{unknown}` means nothing here; known: {}",
                names.join(", ")
            ))),
            None => Ok(()),
        }
    }

    pub(super) fn text(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    pub(super) fn required_text(&self, name: &str) -> Result<&str, HttpError> {
        self.text(name).ok_or_else(|| missing(name))
    }

    pub(super) fn number(&self, name: &str) -> Result<Option<u64>, HttpError> {
        let not_a_number = |_| invalid_request(format!("`{name}` has to be a whole number"));
        let number = self.text(name).map(str::parse).transpose();
        number.map_err(not_a_number)
    }

    pub(super) fn required_number(&self, name: &str) -> Result<u64, HttpError> {
        self.number(name)?.ok_or_else(|| missing(name))
    }

    /// Returns the maximum number of entries or changes per page.
    pub(super) fn page_length(&self) -> Result<usize, HttpError> {
        let length = self.number("limit")?;
        let length = length.map_or(DEFAULT_PAGE_LENGTH, |length| length as usize);
        Ok(length.clamp(1, MAX_PAGE_LENGTH))
    }

    pub(super) fn timeout(&self) -> Result<Duration, HttpError> {
        let timeout = self.number(TIMEOUT_PARAMETER)?;
        let timeout = timeout.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
        Ok(timeout.min(MAX_TIMEOUT))
    }
}

fn missing(name: &str) -> HttpError {
    invalid_request(format!("`{name}` is missing"))
}

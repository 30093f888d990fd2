//! Validates the fields that a client sent and builds a [`Request`] from them, for all client
//! protocols.
//!
//! This module is independent of the protocol: each protocol reads its fields into a
//! [`RawRequest`], and reports an [`InvalidField`] under its own name for the field.

use thiserror::Error;
use violetgate_policy::interface::{Micros, NewQuery};

use crate::config::NameTable;
use crate::exchange::Request;
use crate::hex;
use crate::request_memory::RequestMemory;
use crate::table_group;

/// The largest accepted value of a timeout or an estimate, in milliseconds (one day) or megabytes.
/// Larger values are rejected, because such an estimate would be greater than the estimates of all
/// other queries together.
const MAX_PLAUSIBLE_VALUE: f64 = 86_400_000.0;
/// Maximum length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 64;
/// The value of the field that marks a request as a client's retry.
const RETRY_MARK: &str = "1";
const MICROS_PER_MS: f64 = 1e3;

/// A field of a request, by its meaning; each protocol has its own name for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestField {
    /// The name of the class; required.
    Class,
    /// The request id, 16 hexadecimal digits; required.
    Id,
    /// The client's timeout: how long it waits for the answer; required.
    Budget,
    /// The name of the tenant.
    Tenant,
    /// The idempotency key; required for some classes.
    IdempotencyKey,
    /// The client's estimate of the work.
    Work,
    /// The client's estimate of the memory.
    Memory,
    /// The ordering key, 16 hexadecimal digits; queries with the same key keep their order.
    OrderingKey,
    /// The mark of a client's retry.
    RetryMark,
    /// The SQL statement; required.
    Statement,
}

/// What is wrong with a field. A protocol prints the text after the field's name.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum FieldError {
    /// The field is required and missing.
    #[error("is missing")]
    Missing,
    /// No class has this name.
    #[error("names no class: {0:?}")]
    UnknownClass(String),
    /// No tenant has this name.
    #[error("names no tenant")]
    UnknownTenant,
    /// A request id or an ordering key is not 16 hexadecimal digits.
    #[error("is not 16 hex digits")]
    NotHex,
    /// The budget is not a positive number, or is larger than is plausible.
    #[error("is no span")]
    NotADuration,
    /// An estimate is not a number, is negative, or is larger than is plausible.
    #[error("is no number")]
    NotANumber,
    /// The engines' protocol can't carry this idempotency key.
    #[error("can't be used")]
    Unusable,
    /// The retry mark has a value other than [`RETRY_MARK`].
    #[error("is not {RETRY_MARK}")]
    NotTheRetryMark,
}

/// An error that names the field for which a request was rejected.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidField {
    /// The field that is missing or invalid.
    pub field: RequestField,
    /// What is wrong with it.
    pub error: FieldError,
}

/// The fields of a request as the client sent them, not yet validated.
#[derive(Debug, Default)]
pub struct RawRequest<'a> {
    /// The name of the class.
    pub class: Option<&'a str>,
    /// The request id in hexadecimal.
    pub id: Option<&'a str>,
    /// How long the client waits for the answer, in milliseconds.
    pub budget_ms: Option<f64>,
    /// The name of the tenant.
    pub tenant: Option<&'a str>,
    /// The key that all retries of one query share.
    pub idempotency_key: Option<&'a str>,
    /// The client's estimate of the work, in milliseconds.
    pub estimated_work_ms: Option<f64>,
    /// The client's estimate of the memory, in megabytes.
    pub estimated_memory_mb: Option<f64>,
    /// The key in hexadecimal whose queries keep their order.
    pub ordering_key: Option<&'a str>,
    /// [`RETRY_MARK`] if the client retries an earlier request.
    pub retry_mark: Option<&'a str>,
    /// The SQL statement, without the fields.
    pub statement: &'a [u8],
}

/// Whether a statement consists only of white space, comments and semicolons.
#[must_use]
pub fn is_blank_statement(statement: &[u8]) -> bool {
    table_group::tokens(statement).all(|token| token == table_group::Token::Other(b';'))
}

impl RawRequest<'_> {
    /// Validates the fields and builds the request, whose last byte was read at `received`.
    ///
    /// # Errors
    ///
    /// Returns the first field that is missing or invalid.
    pub fn validate(self, names: &NameTable, received: Micros) -> Result<Request, InvalidField> {
        let class_name = self.class.ok_or(missing(RequestField::Class))?;
        let class = class_index(class_name, names)?;
        let id_text = self.id.ok_or(missing(RequestField::Id))?;
        let id = hex_number(id_text, RequestField::Id)?;
        let budget_ms = self.budget_ms.ok_or(missing(RequestField::Budget))?;
        let budget_ms = plausible(budget_ms)
            .filter(|ms| *ms > 0.0)
            .ok_or(invalid(RequestField::Budget, FieldError::NotADuration))?;
        let tenant = tenant_index(self.tenant, names)?;
        let idempotency_key = self.checked_idempotency_key(class, names)?;
        let ordering_key = self
            .ordering_key
            .map(|text| hex_number(text, RequestField::OrderingKey))
            .transpose()?;
        if self.retry_mark.is_some_and(|mark| mark != RETRY_MARK) {
            return Err(invalid(
                RequestField::RetryMark,
                FieldError::NotTheRetryMark,
            ));
        }
        if is_blank_statement(self.statement) {
            return Err(missing(RequestField::Statement));
        }
        let work_ms = plausible_estimate(self.estimated_work_ms, RequestField::Work)?;
        let memory_mb = plausible_estimate(self.estimated_memory_mb, RequestField::Memory)?;
        let query = NewQuery {
            id,
            class: class as u32,
            tenant: tenant as u32,
            estimated_work: work_ms.map(|ms| (ms * MICROS_PER_MS) as Micros),
            estimated_memory_mb: memory_mb.filter(|mb| *mb > 0.0),
            client_timeout: (budget_ms * MICROS_PER_MS) as Micros,
            table_group: table_group::table_group(self.statement),
            ordering_key,
            is_client_retry: self.retry_mark.is_some(),
            earlier_run: None,
        };
        Ok(Request {
            query,
            received,
            id_text: id_text.into(),
            class: class_name.into(),
            idempotency_key: idempotency_key.map(Into::into),
            statement: self.statement.into(),
            memory: RequestMemory::default(),
        })
    }

    /// Validates the idempotency key, which some classes require.
    fn checked_idempotency_key(
        &self,
        class: usize,
        names: &NameTable,
    ) -> Result<Option<&str>, InvalidField> {
        let Some(key) = self.idempotency_key else {
            let class = names.classes.get(class);
            return if class.is_some_and(|class| class.takes_idempotency_key) {
                Err(missing(RequestField::IdempotencyKey))
            } else {
                Ok(None)
            };
        };
        // The engines' protocol separates fields with commas.
        let is_usable = (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len())
            && key
                .bytes()
                .all(|byte| byte.is_ascii_graphic() && byte != b',');
        if is_usable {
            Ok(Some(key))
        } else {
            Err(invalid(RequestField::IdempotencyKey, FieldError::Unusable))
        }
    }
}

fn invalid(field: RequestField, error: FieldError) -> InvalidField {
    InvalidField { field, error }
}

fn missing(field: RequestField) -> InvalidField {
    invalid(field, FieldError::Missing)
}

fn class_index(name: &str, names: &NameTable) -> Result<usize, InvalidField> {
    let position = names.classes.iter().position(|class| class.name == name);
    position.ok_or_else(|| {
        let error = FieldError::UnknownClass(name.to_owned());
        invalid(RequestField::Class, error)
    })
}

/// Returns the index of a tenant. A request without a tenant counts as the first tenant's.
fn tenant_index(name: Option<&str>, names: &NameTable) -> Result<usize, InvalidField> {
    let Some(name) = name else {
        return Ok(0);
    };
    let position = names.tenants.iter().position(|tenant| tenant == name);
    position.ok_or(invalid(RequestField::Tenant, FieldError::UnknownTenant))
}

fn hex_number(text: &str, field: RequestField) -> Result<u64, InvalidField> {
    hex::parse_u64(text).ok_or(invalid(field, FieldError::NotHex))
}

/// Returns the value if it is between 0 and [`MAX_PLAUSIBLE_VALUE`].
fn plausible(value: f64) -> Option<f64> {
    Some(value).filter(|value| (0.0..=MAX_PLAUSIBLE_VALUE).contains(value))
}

fn plausible_estimate(
    value: Option<f64>,
    field: RequestField,
) -> Result<Option<f64>, InvalidField> {
    let checked = |value| plausible(value).ok_or(invalid(field, FieldError::NotANumber));
    value.map(checked).transpose()
}

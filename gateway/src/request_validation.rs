//! The checks that make a [`Request`] of what a client sent, shared by all client protocols.
//!
//! It knows no protocol: a protocol reads its fields into a [`RawRequest`], and names the field of
//! an [`InvalidField`] in its own words.

use thiserror::Error;
use violetgate_policy::interface::{Micros, NewQuery};

use crate::config::NameTable;
use crate::exchange::Request;
use crate::hex;
use crate::table_group;

/// The largest believable figure: a day of waiting or of work, in milliseconds, and as many
/// megabytes. One beyond it is no estimate: taken as one, it would outweigh all other queries
/// together.
const MAX_MEASURE: f64 = 86_400_000.0;
/// The longest idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 64;
/// What marks a client's own retry.
const RETRY_MARK: &str = "1";
const MICROS_PER_MS: f64 = 1e3;

/// A field of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestField {
    /// The class.
    Class,
    /// The request id.
    Id,
    /// How long the client waits.
    Budget,
    /// The tenant.
    Tenant,
    /// The idempotency key.
    IdempotencyKey,
    /// The estimate of the work.
    Work,
    /// The estimate of the memory.
    Memory,
    /// The key whose queries keep their order.
    OrderingKey,
    /// The mark of a client's retry.
    RetryMark,
    /// The statement.
    Statement,
}

/// What is wrong with a field, to be read after the field's name.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum FieldError {
    /// It must be given, and is not.
    #[error("is missing")]
    Missing,
    /// No class has this name.
    #[error("names no class: {0:?}")]
    UnknownClass(String),
    /// No tenant has this name.
    #[error("names no tenant")]
    UnknownTenant,
    /// An id or an ordering key has another form.
    #[error("is not 16 hex digits")]
    NotHex,
    /// A time that is none, or beyond belief.
    #[error("is no span")]
    NotASpan,
    /// A figure that is none, or beyond belief.
    #[error("is no number")]
    NotANumber,
    /// An idempotency key that the engines' protocol can't carry.
    #[error("can't be used")]
    Unusable,
    /// A retry mark other than the one there is.
    #[error("is not {RETRY_MARK}")]
    NotTheRetryMark,
}

/// A field that can't be used.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidField {
    /// The field.
    pub field: RequestField,
    /// What is wrong with it.
    pub error: FieldError,
}

/// A request in the client's own spelling, not yet checked.
#[derive(Debug, Default)]
pub struct RawRequest<'a> {
    /// The class's name.
    pub class: Option<&'a str>,
    /// The request id.
    pub id: Option<&'a str>,
    /// How long the client waits, in milliseconds.
    pub budget_ms: Option<f64>,
    /// The tenant's name.
    pub tenant: Option<&'a str>,
    /// The idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// The estimate of the work, in milliseconds.
    pub estimated_work_ms: Option<f64>,
    /// The estimate of the memory, in megabytes.
    pub estimated_memory_mb: Option<f64>,
    /// The key whose queries keep their order.
    pub ordering_key: Option<&'a str>,
    /// The mark of a client's retry of an earlier request.
    pub retry_mark: Option<&'a str>,
    /// The statement.
    pub statement: &'a [u8],
}

/// Whether a statement holds white space, comments and semicolons only.
#[must_use]
pub fn is_blank_statement(statement: &[u8]) -> bool {
    table_group::tokens(statement).all(|token| token == table_group::Token::Other(b';'))
}

impl RawRequest<'_> {
    /// Makes the request whose last byte was read at `received`.
    ///
    /// # Errors
    ///
    /// A field is missing or can't be used.
    pub fn validate(self, names: &NameTable, received: Micros) -> Result<Request, InvalidField> {
        let class_name = self.class.ok_or(missing(RequestField::Class))?;
        let class = class_number(class_name, names)?;
        let id_text = self.id.ok_or(missing(RequestField::Id))?;
        let id = hex_number(id_text, RequestField::Id)?;
        let budget_ms = self.budget_ms.ok_or(missing(RequestField::Budget))?;
        let budget_ms = believable(budget_ms)
            .filter(|ms| *ms > 0.0)
            .ok_or(invalid(RequestField::Budget, FieldError::NotASpan))?;
        let tenant = tenant_number(self.tenant, names)?;
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
        let work_ms = measure(self.estimated_work_ms, RequestField::Work)?;
        let memory_mb = measure(self.estimated_memory_mb, RequestField::Memory)?;
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
        };
        Ok(Request {
            query,
            received,
            id_text: id_text.into(),
            class: class_name.into(),
            idempotency_key: idempotency_key.map(Into::into),
            statement: self.statement.into(),
        })
    }

    /// The idempotency key, which some classes must have.
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
        // The engines' protocol lists its fields with commas.
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

fn class_number(name: &str, names: &NameTable) -> Result<usize, InvalidField> {
    let position = names.classes.iter().position(|class| class.name == name);
    position.ok_or_else(|| {
        let error = FieldError::UnknownClass(name.to_owned());
        invalid(RequestField::Class, error)
    })
}

/// The number of a tenant; a request without one counts as the first's.
fn tenant_number(name: Option<&str>, names: &NameTable) -> Result<usize, InvalidField> {
    let Some(name) = name else {
        return Ok(0);
    };
    let position = names.tenants.iter().position(|tenant| tenant == name);
    position.ok_or(invalid(RequestField::Tenant, FieldError::UnknownTenant))
}

fn hex_number(text: &str, field: RequestField) -> Result<u64, InvalidField> {
    hex::parse_u64(text).ok_or(invalid(field, FieldError::NotHex))
}

/// A figure, if it can be believed.
fn believable(value: f64) -> Option<f64> {
    Some(value).filter(|value| (0.0..=MAX_MEASURE).contains(value))
}

fn measure(value: Option<f64>, field: RequestField) -> Result<Option<f64>, InvalidField> {
    let checked = |value| believable(value).ok_or(invalid(field, FieldError::NotANumber));
    value.map(checked).transpose()
}

//! What a client asks, as any front reads it off its own protocol, and the checks that make a request of it.
//!
//! It knows no protocol: a front says what it found, and names the field at fault in its own words.

use violetgate_policy::interface::{Micros, NewQuery};

use crate::config::NameTable;
use crate::exchange::Request;
use crate::table_group;

/// The most of anything that is believed: a day of waiting or of work, in milliseconds, and as many megabytes.
/// A figure beyond it is no estimate: taken as one, it would weigh more than all other queries together.
const MOST: f64 = 86_400_000.0;
/// A token has at most this many bytes.
const MAX_TOKEN: usize = 64;

/// A part of what is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestField {
    /// The class.
    Class,
    /// The id.
    Id,
    /// How long the client waits.
    Budget,
    /// The tenant.
    Tenant,
    /// The idempotency key.
    Token,
    /// The estimate of the work.
    Work,
    /// The estimate of the memory.
    Memory,
    /// The key whose queries keep their order.
    Key,
    /// The mark of a repeat.
    Again,
    /// The statement.
    Statement,
}

/// What is wrong with a part of it.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidField {
    /// Which part.
    pub part: RequestField,
    /// What is wrong, to be read after the part's name.
    pub what: String,
}

/// What is asked, in the client's own spelling.
#[derive(Debug, Default)]
pub struct RawRequest<'a> {
    /// The class's name.
    pub class: Option<&'a str>,
    /// The id.
    pub id: Option<&'a str>,
    /// How long the client waits, in milliseconds.
    pub budget: Option<f64>,
    /// The tenant's name.
    pub tenant: Option<&'a str>,
    /// The idempotency key.
    pub token: Option<&'a str>,
    /// The estimate of the work, in milliseconds.
    pub work: Option<f64>,
    /// The estimate of the memory, in megabytes.
    pub memory: Option<f64>,
    /// The key whose queries keep their order.
    pub key: Option<&'a str>,
    /// `1` marks a client's repeat of an earlier request.
    pub again: Option<&'a str>,
    /// The statement.
    pub statement: &'a [u8],
}

/// A figure that can be believed; `None`: this is none.
#[must_use]
pub fn measure(value: f64) -> Option<f64> {
    Some(value).filter(|v| (0.0..=MOST).contains(v))
}

/// Whether a statement says nothing: white space, comments and semicolons only.
#[must_use]
pub fn says_nothing(statement: &[u8]) -> bool {
    table_group::tokens(statement).all(|t| t == table_group::Token::Other(b';'))
}

impl RawRequest<'_> {
    /// Makes the request whose last byte came at `received`.
    ///
    /// # Errors
    ///
    /// A part is missing or can't be used.
    pub fn request(self, names: &NameTable, received: Micros) -> Result<Request, InvalidField> {
        let fault = |part, what: &str| InvalidField {
            part,
            what: what.to_owned(),
        };
        let missing = |part| {
            move || InvalidField {
                part,
                what: "is missing".to_owned(),
            }
        };
        let method = self.class.ok_or_else(missing(RequestField::Class))?;
        let class = names.classes.iter().position(|(n, _)| n == method);
        let class = class
            .ok_or_else(|| fault(RequestField::Class, &format!("names no class: {method:?}")))?;
        let keyed = names.classes.get(class).is_some_and(|c| c.1);
        let rid = self.id.ok_or_else(missing(RequestField::Id))?;
        let id = hex(rid).ok_or_else(|| fault(RequestField::Id, "is not 16 hex digits"))?;
        let budget = self.budget.ok_or_else(missing(RequestField::Budget))?;
        let budget = measure(budget).filter(|ms| *ms > 0.0);
        let budget = budget.ok_or_else(|| fault(RequestField::Budget, "is no span"))?;
        let tenant = match self.tenant {
            None => 0,
            Some(name) => {
                let place = names.tenants.iter().position(|n| n == name);
                place.ok_or_else(|| fault(RequestField::Tenant, "names no tenant"))?
            }
        };
        let plain = |t: &&str| {
            (1..=MAX_TOKEN).contains(&t.len()) && t.bytes().all(|b| b.is_ascii_graphic())
        };
        let token = match self.token {
            // The engines' protocol lists its fields with commas.
            Some(token) => {
                let usable = Some(token).filter(plain).filter(|t| !t.contains(','));
                Some(usable.ok_or_else(|| fault(RequestField::Token, "can't be used"))?)
            }
            None if keyed => return Err(missing(RequestField::Token)()),
            None => None,
        };
        let number = |value: Option<f64>, part| match value {
            None => Ok(None),
            Some(v) => measure(v)
                .map(Some)
                .ok_or_else(|| fault(part, "is no number")),
        };
        let key = match self.key {
            None => None,
            Some(text) => {
                Some(hex(text).ok_or_else(|| fault(RequestField::Key, "is not 16 hex digits"))?)
            }
        };
        if self.again.is_some_and(|mark| mark != "1") {
            return Err(fault(RequestField::Again, "is not 1"));
        }
        if says_nothing(self.statement) {
            return Err(missing(RequestField::Statement)());
        }
        let query = NewQuery {
            id,
            class: class as u32,
            tenant: tenant as u32,
            estimated_work: number(self.work, RequestField::Work)?.map(|ms| (ms * 1e3) as Micros),
            estimated_memory_mb: number(self.memory, RequestField::Memory)?.filter(|mb| *mb > 0.0),
            client_timeout: (budget * 1e3) as Micros,
            table_group: table_group::group(self.statement),
            ordering_key: key,
            is_client_retry: self.again.is_some(),
        };
        Ok(Request {
            query,
            received,
            rid: rid.into(),
            class: method.into(),
            token: token.map(Into::into),
            statement: self.statement.into(),
        })
    }
}

fn hex(text: &str) -> Option<u64> {
    let plain = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    plain.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

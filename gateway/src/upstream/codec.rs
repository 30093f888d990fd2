//! Writes the commands and parses the answers of the engines' line protocol.
//!
//! A line consists of words separated by spaces and ends in CR LF. If its last word is a length,
//! that many bytes and another CR LF follow. The line of an answer is `RID WORD FIELDS LENGTH`.
//! `FIELDS` is a comma-separated list of `NAME=VALUE`, or `-` if there are none.

use std::fmt::{Display, Write as _};

use violetgate_policy::interface::{Cost, Progress, QueryId};

use crate::hex;

/// The maximum length of an answer's line.
const MAX_LINE_BYTES: usize = 1024;
/// The maximum length of an answer's body. Pages have at most 6,000 bytes, well below this limit.
const MAX_BODY_BYTES: usize = 16 * 1024;
const MICROS_PER_MS: f64 = 1e3;

/// Words of the wire protocol that differ from the terms used in the code. The codec uses them only
/// through these constants.
mod wire_word {
    pub const RUN: &str = "serve";
    pub const CANCEL: &str = "cancel";
    pub const DISCARD_PAGES: &str = "release";
    pub const SET_PRIORITY: &str = "weigh";

    pub const CLASS: &str = "sort";
    pub const TIME_LEFT_MS: &str = "patience";
    pub const IDEMPOTENCY_KEY: &str = "op";
    pub const MEMORY_GRANT_MB: &str = "reserve";
    pub const PRIORITY: &str = "level";

    pub const PAGE_COUNT: &str = "chunks";
    pub const PAGE: &str = "at";
    pub const WORK_MS: &str = "spent";
    pub const MEMORY_MB: &str = "wanted";
    pub const PROGRESS_KIND: &str = "n";
    pub const PROGRESS_AMOUNT: &str = "amount";
    pub const FRACTION_DONE: &str = "advance";
    pub const SPILLING: &str = "disk";
    pub const WAITING: &str = "stall";
}

/// The command that starts an attempt.
#[derive(Debug, Clone, Copy)]
pub struct RunCommand<'a> {
    /// The request's id as the client wrote it.
    pub request_id: &'a str,
    /// The name of the request's class.
    pub class: &'a str,
    /// The time left until the attempt's deadline, in milliseconds.
    pub time_left_ms: u64,
    /// The idempotency key, if the request has one.
    pub idempotency_key: Option<&'a str>,
    /// The memory granted, in MB. With 0, the engine decides.
    pub memory_grant_mb: u64,
    /// The priority level, if one was set.
    pub priority: Option<u8>,
    /// The size of the statement to run, which is sent unchanged after the command's line.
    pub statement_bytes: usize,
}

/// What follows the statement of a [`RunCommand`].
pub const RUN_COMMAND_END: &[u8] = b"\r\n";

impl RunCommand<'_> {
    /// Appends the line of the command to `out`. The statement and [`RUN_COMMAND_END`] have to
    /// follow it.
    pub fn write_line_to(&self, out: &mut Vec<u8>) {
        let line = format!(
            "{} {} {} {}\r\n",
            wire_word::RUN,
            self.request_id,
            self.fields(),
            self.statement_bytes
        );
        out.extend_from_slice(line.as_bytes());
    }

    fn fields(&self) -> String {
        let mut fields = format!(
            "{}={},{}={}",
            wire_word::CLASS,
            self.class,
            wire_word::TIME_LEFT_MS,
            self.time_left_ms
        );
        let mut append = |name: &str, value: &dyn Display| {
            let _ = write!(fields, ",{name}={value}");
        };
        if let Some(key) = &self.idempotency_key {
            append(wire_word::IDEMPOTENCY_KEY, key);
        }
        if self.memory_grant_mb > 0 {
            append(wire_word::MEMORY_GRANT_MB, &self.memory_grant_mb);
        }
        if let Some(priority) = &self.priority {
            append(wire_word::PRIORITY, priority);
        }
        fields
    }
}

/// Returns the `cancel` command, which cancels an attempt before its answer has begun.
#[must_use]
pub fn cancel_line(request_id: &str) -> String {
    format!("{} {request_id}\r\n", wire_word::CANCEL)
}

/// Returns the `release` command, which lets the engine discard the remaining pages of an answer.
#[must_use]
pub fn release_line(request_id: &str) -> String {
    format!("{} {request_id}\r\n", wire_word::DISCARD_PAGES)
}

/// Returns the `weigh` command, which changes the priority level of an attempt.
#[must_use]
pub fn priority_line(request_id: &str, priority: u8) -> String {
    format!("{} {request_id} {priority}\r\n", wire_word::SET_PRIORITY)
}

/// Returns the `read` command, which requests a page of an answer after the first. Pages count
/// from 0.
#[must_use]
pub fn page_line(request_id: &str, page: usize) -> String {
    format!("read {request_id} {page}\r\n")
}

/// The kind of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyKind {
    /// Page 0 of the result.
    FirstPage,
    /// A page after page 0.
    FurtherPage,
    /// The engine is overloaded and did not run the attempt.
    Overloaded,
    /// The attempt failed, and may have run.
    Error,
    /// The attempt was over before the engine could start it, and did not run.
    NeverRan,
    /// The attempt is still running.
    Progress,
}

impl ReplyKind {
    fn from_word(word: &str) -> Option<Self> {
        Some(match word {
            "ok" => ReplyKind::FirstPage,
            "batch" => ReplyKind::FurtherPage,
            "refused" => ReplyKind::Overloaded,
            "error" => ReplyKind::Error,
            "stale" => ReplyKind::NeverRan,
            "progress" => ReplyKind::Progress,
            _ => return None,
        })
    }
}

/// A parsed answer of an engine.
#[derive(Debug)]
pub struct Reply<'a> {
    /// The query that the answer belongs to.
    pub query: QueryId,
    /// The query's request id as the engine wrote it.
    pub request_id: &'a str,
    /// The kind of the answer.
    pub kind: ReplyKind,
    /// The total number of pages of the result, if reported.
    pub page_count: Option<usize>,
    /// The number of this page, from 0, if reported.
    pub page: Option<usize>,
    /// The cost of the query, if reported.
    pub cost: Option<Cost>,
    /// The progress of a running attempt, if reported and of a known kind.
    pub progress: Option<Progress>,
    /// The content of the page; empty if the answer carries none.
    pub body: &'a [u8],
}

/// The result of parsing the start of the received bytes.
#[derive(Debug)]
pub enum Parsed<'a> {
    /// More bytes are needed.
    Incomplete,
    /// An answer, and the number of bytes that it takes up.
    Complete(Reply<'a>, usize),
    /// The bytes violate the protocol.
    Malformed,
}

/// Parses the answer at the start of `bytes`.
#[must_use]
pub fn parse(bytes: &[u8]) -> Parsed<'_> {
    let Some(line_end) = memchr::memchr(b'\n', bytes) else {
        return if bytes.len() > MAX_LINE_BYTES {
            Parsed::Malformed
        } else {
            Parsed::Incomplete
        };
    };
    let Some(head) = bytes.get(..line_end).and_then(Head::parse) else {
        return Parsed::Malformed;
    };
    let (body_start, body_end) = (line_end + 1, line_end + 1 + head.body_length);
    let Some(body) = bytes.get(body_start..body_end) else {
        return Parsed::Incomplete;
    };
    match bytes.get(body_end..body_end + 2) {
        Some(b"\r\n") => {}
        Some(_) => return Parsed::Malformed,
        None => return Parsed::Incomplete,
    }
    match head.reply(body) {
        Some(reply) => Parsed::Complete(reply, body_end + 2),
        None => Parsed::Malformed,
    }
}

/// The line of an answer, split into its words.
struct Head<'a> {
    query: QueryId,
    request_id: &'a str,
    word: &'a str,
    fields: &'a str,
    body_length: usize,
}

impl<'a> Head<'a> {
    fn parse(line: &'a [u8]) -> Option<Self> {
        let line = std::str::from_utf8(line.strip_suffix(b"\r")?).ok()?;
        if line.len() > MAX_LINE_BYTES {
            return None;
        }
        let mut words = line.split(' ');
        let [request_id, word, fields, length] =
            [words.next()?, words.next()?, words.next()?, words.next()?];
        if words.next().is_some() {
            return None;
        }
        Some(Head {
            query: hex::parse_u64(request_id)?,
            request_id,
            word,
            fields,
            body_length: parse_number(length).filter(|length| *length <= MAX_BODY_BYTES)?,
        })
    }

    /// Combines the line with the body. `None`: the line's word is unknown, or a field is not
    /// `NAME=VALUE`.
    fn reply(self, body: &'a [u8]) -> Option<Reply<'a>> {
        let kind = ReplyKind::from_word(self.word)?;
        let fields = Fields::parse(self.fields)?;
        Some(Reply {
            query: self.query,
            request_id: self.request_id,
            kind,
            page_count: fields.page_count,
            page: fields.page,
            cost: fields.reported_cost(),
            progress: fields.progress(),
            body,
        })
    }
}

/// The fields of an answer that the gateway uses. Other fields are ignored.
#[derive(Default)]
struct Fields<'a> {
    page_count: Option<usize>,
    page: Option<usize>,
    work_ms: Option<f64>,
    memory_mb: Option<f64>,
    progress_kind: Option<&'a str>,
    progress_amount: Option<f64>,
}

impl<'a> Fields<'a> {
    fn parse(text: &'a str) -> Option<Self> {
        let mut fields = Fields::default();
        if text == "-" {
            return Some(fields);
        }
        for field in text.split(',') {
            let (name, value) = field.split_once('=')?;
            match name {
                wire_word::PAGE_COUNT => fields.page_count = parse_number(value),
                wire_word::PAGE => fields.page = parse_number(value),
                wire_word::WORK_MS => fields.work_ms = parse_measure(value),
                wire_word::MEMORY_MB => fields.memory_mb = parse_measure(value),
                wire_word::PROGRESS_KIND => fields.progress_kind = Some(value),
                wire_word::PROGRESS_AMOUNT => fields.progress_amount = parse_measure(value),
                _ => {}
            }
        }
        Some(fields)
    }

    fn reported_cost(&self) -> Option<Cost> {
        self.work_ms.map(|ms| Cost {
            work: (ms * MICROS_PER_MS) as u64,
            memory_mb: self.memory_mb.unwrap_or(0.0),
        })
    }

    /// Returns the reported progress. Progress of an unknown kind or without an amount is ignored.
    fn progress(&self) -> Option<Progress> {
        let (kind, amount) = self.progress_kind.zip(self.progress_amount)?;
        match kind {
            wire_word::FRACTION_DONE => Some(Progress::FractionDone(amount)),
            wire_word::SPILLING => Some(Progress::Spilling(amount)),
            wire_word::WAITING if amount == 1.0 => Some(Progress::WaitingForMemory),
            wire_word::WAITING if amount == 2.0 => Some(Progress::WaitingForBulkLoad),
            _ => None,
        }
    }
}

fn parse_number(text: &str) -> Option<usize> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit());
    is_plain.then(|| text.parse().ok()).flatten()
}

fn parse_measure(text: &str) -> Option<f64> {
    let value: f64 = text.parse().ok()?;
    Some(value).filter(|value| value.is_finite() && *value >= 0.0)
}

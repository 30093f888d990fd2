//! The line protocol: commands out, answers in. A line of words ends in CR LF; where its last word is a
//! length, that many bytes and CR LF follow.

use violetgate_policy::interface::{Cost, Progress, QueryId};

/// The longest line of an answer.
const MAX_LINE: usize = 1024;
/// The longest body of an answer: well over the 6,000 bytes that a page may have.
const MAX_BODY: usize = 16 * 1024;

/// Writes `serve`.
pub fn serve(out: &mut Vec<u8>, rid: &str, fields: &str, statement: &[u8]) {
    out.extend_from_slice(format!("serve {rid} {fields} {}\r\n", statement.len()).as_bytes());
    out.extend_from_slice(statement);
    out.extend_from_slice(b"\r\n");
}

/// What an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// Page 0 of the result.
    Ok,
    /// A further page.
    Batch,
    /// Full: it never ran.
    Refused,
    /// It may have run.
    Error,
    /// It was over already: it never ran.
    Stale,
    /// Not yet over.
    Progress,
}

/// One answer.
#[derive(Debug)]
pub struct Reply<'a> {
    /// Whose.
    pub id: QueryId,
    /// The same in the engine's spelling.
    pub rid: &'a str,
    /// What it says.
    pub word: Word,
    /// Number of all pages.
    pub chunks: Option<usize>,
    /// Number of this page.
    pub at: Option<usize>,
    /// What it cost, if told.
    pub cost: Option<Cost>,
    /// News of one that is not yet over, if any.
    pub note: Option<Progress>,
    /// The page.
    pub body: &'a [u8],
}

/// What stands at the start of the bytes read.
#[derive(Debug)]
pub enum Parsed<'a> {
    /// Not yet a whole answer.
    Part,
    /// An answer, and how many bytes it took.
    Whole(Reply<'a>, usize),
    /// Nothing that an engine may say.
    Garbage,
}

/// Reads the answer at the start of `bytes`.
#[must_use]
pub fn parse(bytes: &[u8]) -> Parsed<'_> {
    let Some(end) = memchr::memchr(b'\n', bytes) else {
        return if bytes.len() > MAX_LINE {
            Parsed::Garbage
        } else {
            Parsed::Part
        };
    };
    let line = bytes
        .get(..end)
        .and_then(|l| l.strip_suffix(b"\r"))
        .and_then(|l| std::str::from_utf8(l).ok());
    let Some((rid, word, fields, length)) = line.filter(|l| l.len() <= MAX_LINE).and_then(words)
    else {
        return Parsed::Garbage;
    };
    let (Some(id), Some(length)) = (hex(rid), number(length).filter(|n| *n <= MAX_BODY)) else {
        return Parsed::Garbage;
    };
    let from = end + 1;
    let Some(body) = bytes.get(from..from + length) else {
        return Parsed::Part;
    };
    match bytes.get(from + length..from + length + 2) {
        Some(b"\r\n") => {}
        Some(_) => return Parsed::Garbage,
        None => return Parsed::Part,
    }
    let word = match word {
        "ok" => Word::Ok,
        "batch" => Word::Batch,
        "refused" => Word::Refused,
        "error" => Word::Error,
        "stale" => Word::Stale,
        "progress" => Word::Progress,
        _ => return Parsed::Garbage,
    };
    let mut reply = Reply {
        id,
        rid,
        word,
        chunks: None,
        at: None,
        cost: None,
        note: None,
        body,
    };
    let (mut spent, mut wanted, mut news, mut amount) = (None, None, None, None);
    for field in fields.split(',').filter(|_| fields != "-") {
        let Some((name, value)) = field.split_once('=') else {
            return Parsed::Garbage;
        };
        match name {
            "chunks" => reply.chunks = number(value),
            "at" => reply.at = number(value),
            "spent" => spent = measure(value),
            "wanted" => wanted = measure(value),
            "n" => news = Some(value),
            "amount" => amount = measure(value),
            _ => {}
        }
    }
    reply.cost = spent.map(|ms| Cost {
        work: (ms * 1e3) as u64,
        memory_mb: wanted.unwrap_or(0.0),
    });
    reply.note = news
        .zip(amount)
        .and_then(|(news, amount)| note(news, amount));
    Parsed::Whole(reply, from + length + 2)
}

/// What a note says; one of a kind that is not known says nothing.
fn note(news: &str, amount: f64) -> Option<Progress> {
    match news {
        "advance" => Some(Progress::FractionDone(amount)),
        "disk" => Some(Progress::Spilling(amount)),
        "stall" if amount == 1.0 => Some(Progress::WaitingForMemory),
        "stall" if amount == 2.0 => Some(Progress::WaitingForBulkLoad),
        _ => None,
    }
}

fn words(line: &str) -> Option<(&str, &str, &str, &str)> {
    let mut words = line.split(' ');
    let four = (words.next()?, words.next()?, words.next()?, words.next()?);
    words.next().is_none().then_some(four)
}

fn number(text: &str) -> Option<usize> {
    text.bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}

fn measure(text: &str) -> Option<f64> {
    text.parse::<f64>()
        .ok()
        .filter(|v| v.is_finite() && *v >= 0.0)
}

fn hex(text: &str) -> Option<QueryId> {
    let plain = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    plain
        .then(|| QueryId::from_str_radix(text, 16).ok())
        .flatten()
}

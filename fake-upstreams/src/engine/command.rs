//! The commands that an engine reads. A command is a line of words; `serve` is followed by a
//! statement.

use std::io::{Error, ErrorKind, Result};

/// Terminates command lines and statements.
const LINE_END: &[u8] = b"\r\n";

/// A parsed command of the line protocol.
#[derive(Debug)]
pub(super) enum Command {
    Serve {
        request_id: String,
        key: Option<String>,
        /// Memory granted to the request, in megabytes; 0 if the engine chooses.
        reserved_mb: u64,
        statement: String,
    },
    Read {
        request_id: String,
        page: usize,
    },
    Cancel {
        request_id: String,
    },
    Release {
        request_id: String,
    },
    /// A change of priority, which fake engines ignore.
    SetPriority,
    Health {
        tag: String,
    },
    Unknown,
}

impl Command {
    fn parse(words: &[&str], body: &[u8]) -> Self {
        match words {
            ["serve", request_id, fields, _] => {
                let field = |name: &str| {
                    let mut fields = fields.split(',');
                    fields.find_map(|field| field.strip_prefix(name))
                };
                let reserved_mb = field("reserve=").and_then(|megabytes| megabytes.parse().ok());
                Command::Serve {
                    request_id: (*request_id).to_owned(),
                    key: field("op=").map(str::to_owned),
                    reserved_mb: reserved_mb.unwrap_or(0),
                    statement: String::from_utf8_lossy(body).into_owned(),
                }
            }
            ["read", request_id, page] => Command::Read {
                request_id: (*request_id).to_owned(),
                page: page.parse().unwrap_or(usize::MAX),
            },
            ["cancel", request_id] => Command::Cancel {
                request_id: (*request_id).to_owned(),
            },
            ["release", request_id] => Command::Release {
                request_id: (*request_id).to_owned(),
            },
            ["weigh", _, _] => Command::SetPriority,
            ["health", tag] => Command::Health {
                tag: (*tag).to_owned(),
            },
            _ => Command::Unknown,
        }
    }
}

/// Removes the next complete command from the input. Returns `None` if more bytes are needed, and
/// an error if the bytes violate the protocol.
pub(super) fn take_command(input: &mut Vec<u8>) -> Result<Option<Command>> {
    let invalid = || Error::from(ErrorKind::InvalidData);
    let Some(newline) = input.iter().position(|byte| *byte == b'\n') else {
        return Ok(None);
    };
    let line = input
        .get(..newline)
        .and_then(|line| line.strip_suffix(b"\r"));
    let line = std::str::from_utf8(line.ok_or_else(invalid)?).map_err(|_| invalid())?;
    let words: Vec<&str> = line.split(' ').collect();
    let body_start = newline + 1;
    let mut end = body_start;
    if words.first() == Some(&"serve") {
        let length = words.get(3).and_then(|length| length.parse::<usize>().ok());
        end += length.ok_or_else(invalid)? + LINE_END.len();
    }
    if input.len() < end {
        return Ok(None);
    }
    let body_end = end.saturating_sub(LINE_END.len()).max(body_start);
    let body = input.get(body_start..body_end).unwrap_or_default();
    let command = Command::parse(&words, body);
    input.drain(..end);
    Ok(Some(command))
}

//! The log: one line for each connection that ended, and few others; `docs/on-call.md` explains
//! them all.
//!
//! Lines go through `tracing` to a thread that writes them, by a queue of bounded length: what
//! can't be written because standard error blocks is dropped and counted, and never blocks the
//! thread that serves.

use std::fmt::{self, Display};
use std::sync::OnceLock;

use serde::{Deserialize, Serialize};
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// How lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// The bare text.
    #[default]
    Text,
    /// One JSON object a line, with the time, the text and, for a connection that ended, its parts.
    Json,
}

/// Counts the lines that could not be written, once the log has been started.
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Holds the log open; dropped, it writes what is still queued, for a second at most.
pub struct LogGuard {
    _worker: Option<WorkerGuard>,
}

/// Starts the log; at most `queue_lines` lines wait to be written. A second start in one process
/// changes nothing.
#[must_use]
pub fn start(format: Format, queue_lines: usize) -> LogGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(queue_lines)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stderr());
    let dropped = writer.error_counter();
    let builder = tracing_subscriber::fmt()
        .with_writer(writer)
        .with_ansi(false)
        .with_target(false);
    let started = match format {
        Format::Text => {
            tracing::subscriber::set_global_default(builder.event_format(MessageOnly).finish())
        }
        Format::Json => {
            let json = builder
                .json()
                .flatten_event(true)
                .with_current_span(false)
                .with_span_list(false);
            tracing::subscriber::set_global_default(json.finish())
        }
    };
    if started.is_err() {
        return LogGuard { _worker: None };
    }
    let _ = DROPPED.set(dropped);
    LogGuard {
        _worker: Some(guard),
    }
}

/// The number of lines dropped since the start because standard error took none.
#[must_use]
pub fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Writes the message alone, as `docs/on-call.md` has it.
struct MessageOnly;

impl<S, N> FormatEvent<S, N> for MessageOnly
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut out: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut message = MessageVisitor {
            out: &mut out,
            result: Ok(()),
        };
        event.record(&mut message);
        message.result
    }
}

/// Writes the field that holds the message.
struct MessageVisitor<'a, 'w> {
    out: &'a mut Writer<'w>,
    result: fmt::Result,
}

impl Visit for MessageVisitor<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.result = writeln!(self.out, "{value:?}");
        }
    }
}

/// Writes one line. A log that can't be written is no reason to stop serving.
pub fn write_line(text: impl Display) {
    tracing::info!("{text}");
}

/// Logs the end of a connection: which side it was on, its peer, the reason, and the requests it
/// carried.
pub fn connection_ended(side: &str, peer: impl Display, reason: impl Display, requests: u64) {
    tracing::info!(
        side,
        %peer,
        %reason,
        requests,
        "{side} {peer} ended reason={reason} requests={requests}"
    );
}

/// Logs that an engine was cordoned or uncordoned.
pub fn engine_cordoned(engine: &str, cordoned: bool) {
    let state = if cordoned { "cordoned" } else { "uncordoned" };
    write_line(format_args!("engine {engine} is {state}"));
}

//! The log on standard error: one line for each connection that ended, and a few others.
//! `docs/on-call.md` explains every line.
//!
//! Lines go through `tracing` into a queue of bounded length, which a separate thread writes. If
//! standard error blocks and the queue is full, further lines are dropped and counted, so that
//! logging never blocks the thread that serves requests.

use std::fmt::{self, Display};
use std::sync::OnceLock;

use serde::{Deserialize, Serialize};
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The format of the log's lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// The message alone, without time or level.
    #[default]
    Text,
    /// One JSON object per line, with the time and the message. For a connection that ended, it
    /// also holds the side, the peer, the reason and the number of requests as fields.
    Json,
}

/// The counter of dropped lines, which is set when the log starts.
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Keeps the log's writer running. When it is dropped, the lines that are still queued are written,
/// for at most a second.
pub struct LogGuard {
    _worker: Option<WorkerGuard>,
}

/// Starts the log, with a queue of at most `queue_lines` lines. A second start in the same process
/// has no effect.
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

/// Returns the number of lines dropped since the start because the queue was full.
#[must_use]
pub fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Formats an event as its message alone, in the form that `docs/on-call.md` quotes.
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

/// Writes the `message` field of an event, and ignores its other fields.
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

/// Logs one line. If it can't be written, it is dropped and the gateway goes on serving.
pub fn write_line(text: impl Display) {
    tracing::info!("{text}");
}

/// Logs the end of a connection: its side (such as `client` or `engine`), its peer, the reason
/// code, and the number of requests that it carried.
pub fn connection_ended(side: &str, peer: impl Display, reason: impl Display, requests: u64) {
    tracing::info!(
        side,
        %peer,
        %reason,
        requests,
        "{side} {peer} ended reason={reason} requests={requests}"
    );
}

/// Logs whether an engine is now cordoned.
pub fn engine_cordoned(engine: &str, cordoned: bool) {
    let state = if cordoned { "cordoned" } else { "uncordoned" };
    write_line(format_args!("engine {engine} is {state}"));
}

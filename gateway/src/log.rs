//! The log: one line for each connection that ended, and few others; `docs/on-call.md` explains them all.
//!
//! Lines go through `tracing` to a thread that writes them, by a queue of bounded length: what cannot be written
//! because standard error blocks is dropped and counted, and never holds up the thread that serves.

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

/// Lines that could not be written, once the log has been started.
static LOST: OnceLock<ErrorCounter> = OnceLock::new();

/// Keeps the log going; dropped, it writes what is still waiting, for a second at most.
pub struct Log(#[allow(dead_code)] Option<WorkerGuard>);

/// Starts the log; at most `waiting` lines wait to be written. A second start in one process changes nothing.
#[must_use]
pub fn start(format: Format, waiting: usize) -> Log {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(waiting)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stderr());
    let lost = writer.error_counter();
    let builder = tracing_subscriber::fmt()
        .with_writer(writer)
        .with_ansi(false)
        .with_target(false);
    let started = match format {
        Format::Text => {
            tracing::subscriber::set_global_default(builder.event_format(Bare).finish())
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
        return Log(None);
    }
    let _ = LOST.set(lost);
    Log(Some(guard))
}

/// Lines dropped since the start because standard error took none.
#[must_use]
pub fn lost() -> usize {
    LOST.get().map_or(0, ErrorCounter::dropped_lines)
}

/// The text alone, as `docs/on-call.md` has it.
struct Bare;

impl<S, N> FormatEvent<S, N> for Bare
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
        struct Message<'a, 'w>(&'a mut Writer<'w>, fmt::Result);
        impl Visit for Message<'_, '_> {
            fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
                if field.name() == "message" {
                    self.1 = writeln!(self.0, "{value:?}");
                }
            }
        }
        let mut message = Message(&mut out, Ok(()));
        event.record(&mut message);
        message.1
    }
}

/// Writes one line. A log that can't be written is no reason to stop serving.
pub fn line(text: impl Display) {
    tracing::info!("{text}");
}

/// Tells of a connection that ended: whose it was, the other end, why, and how many requests it carried.
pub fn ended(side: &str, peer: impl Display, reason: impl Display, requests: u64) {
    tracing::info!(
        side,
        %peer,
        %reason,
        requests,
        "{side} {peer} ended reason={reason} requests={requests}"
    );
}

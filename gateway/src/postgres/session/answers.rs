//! Writes the answers to requests as messages of the PostgreSQL protocol.

use std::io::Write;

use super::super::codec::{self, ErrorResponse};
use super::super::session_end::SessionEnd;
use super::Session;
use crate::exchange::{Answer, QueryResult};
use crate::stats::RequestEnding;

const MICROS_PER_MS: u64 = 1_000;
/// How many bytes of a result are encoded before they are written.
const RESULT_CHUNK_BYTES: usize = 16 * 1024;

impl Session<'_> {
    pub(super) fn write_error(&mut self, code: &str, message: &str) {
        codec::write_error(&mut self.output, &ErrorResponse::error(code, message));
    }

    fn write_error_with_hint(&mut self, code: &str, message: &str, hint: Option<&str>) {
        let error = ErrorResponse {
            hint,
            ..ErrorResponse::error(code, message)
        };
        codec::write_error(&mut self.output, &error);
    }

    /// Writes the error of an instance that accepts no requests. The client can safely retry on
    /// another instance.
    pub(super) fn write_unavailable(&mut self) {
        let message = if self.sessions.drain.reports_unavailable() {
            "this server is being drained"
        } else {
            "this server is shutting down"
        };
        let hint = Some("Try again on a new connection.");
        self.write_error_with_hint("57P03", message, hint);
    }

    /// Writes the error of a query that its client cancelled. It counts as failed.
    pub(super) fn write_cancelled(&mut self) -> RequestEnding {
        self.write_error("57014", "canceling statement due to user request");
        RequestEnding::Failed
    }

    /// Writes the error of a request that does not fit into the memory budget. It counts as rejected.
    pub(super) fn write_out_of_memory(&mut self) {
        let hint = Some("Try again, or send a shorter statement.");
        self.write_error_with_hint("53200", "out of memory for this query", hint);
    }

    /// Sends the error of a connection whose memory was reclaimed, if the socket accepts it at once.
    pub(super) fn tell_out_of_memory(&mut self) {
        let error = ErrorResponse::fatal("53200", "out of memory: send the whole message sooner");
        codec::write_error(&mut self.output, &error);
        let _ = self.stream.get_ref().write(&self.output);
        self.output.clear();
    }

    /// Writes the rows of a result. All but the last part of them are sent.
    async fn write_result(&mut self, result: &QueryResult) -> Result<(), SessionEnd> {
        codec::write_row_description(&mut self.output);
        let mut row_count = 0;
        for row in result.pages.iter().flat_map(|page| codec::rows(page)) {
            codec::write_row(&mut self.output, row);
            row_count += 1;
            if self.output.len() >= RESULT_CHUNK_BYTES {
                self.write().await?;
            }
        }
        codec::write_command_complete(&mut self.output, row_count);
        Ok(())
    }

    /// Writes the answer to a request, and returns how the request ended for the statistics.
    pub(super) async fn write_answer(
        &mut self,
        answer: Answer,
    ) -> Result<RequestEnding, SessionEnd> {
        if let Answer::Served(result) = &answer {
            self.write_result(result).await?;
        }
        Ok(self.write_ending(&answer))
    }

    /// Writes an answer without rows, and returns how its request ended.
    fn write_ending(&mut self, answer: &Answer) -> RequestEnding {
        match answer {
            Answer::Served(_) => RequestEnding::Served,
            Answer::Rejected { retry_after } => {
                self.write_rejected(retry_after.div_ceil(MICROS_PER_MS));
                RequestEnding::Rejected
            }
            Answer::ShuttingDown => {
                self.write_unavailable();
                RequestEnding::Rejected
            }
            Answer::StateUnconfirmed => {
                let message = "this instance is cut off from the others";
                let hint = Some("Another instance may serve it.");
                self.write_error_with_hint("57P03", message, hint);
                RequestEnding::Rejected
            }
            Answer::Failed => {
                self.write_error("58000", "the query failed; it may have had its effect");
                RequestEnding::Failed
            }
            Answer::KeyConflict => {
                self.write_error("22023", "field `token` was used with another query");
                RequestEnding::Failed
            }
            Answer::OutcomeUnknown => {
                let message = "an earlier query of this token failed; it may have had its effect";
                self.write_error("58000", message);
                RequestEnding::Failed
            }
        }
    }

    fn write_rejected(&mut self, retry_after_ms: u64) {
        let message = "too busy to serve this query";
        if retry_after_ms == 0 {
            return self.write_error("53000", message);
        }
        let message = format!("{message} (backoff={retry_after_ms})");
        let hint = format!("Try again in {retry_after_ms} ms.");
        self.write_error_with_hint("53000", &message, Some(&hint));
    }
}

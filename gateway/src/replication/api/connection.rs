//! The state and the memory of one connection of the cluster API.

use std::cell::RefCell;
use std::rc::Rc;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::StatusCode;
use violetgate_memory_budget::{Charge, MemoryBudget, Purpose};

use super::responses::Reply;
use crate::clock::Clock;
use crate::connection_limit::{ConnectionSlot, ConnectionState};
use crate::http_error::HttpError;

/// A body and the transaction that is read from it take this multiple of the body's size.
const CALL_MEMORY_FACTOR: usize = 2;
/// The retry-after of a call that does not fit into the memory budget, in microseconds.
const OUT_OF_MEMORY_RETRY_AFTER_US: u64 = 1_000_000;

/// One connection of the cluster API.
pub(super) struct ApiConnection {
    pub clock: Clock,
    pub slot: Rc<ConnectionSlot>,
    pub memory: MemoryBudget,
    /// The memory of the answer that was built last, until the next one is built.
    pub answer_memory: RefCell<Option<Charge>>,
}

/// The complete body of a call, and its memory.
pub(super) struct CallBody {
    pub bytes: Vec<u8>,
    pub memory: Charge,
}

impl ApiConnection {
    pub(super) fn set_state(&self, state: ConnectionState) {
        self.slot.set_state(state, self.clock.now());
    }

    /// Reads a complete body of at most `max_bytes`.
    pub(super) async fn read_body(
        &self,
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<CallBody, HttpError> {
        self.set_state(ConnectionState::AwaitingMessage);
        let input = &self.slot.input;
        let declared_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| unreadable(&error))?;
            // Trailers have no data frame and are ignored.
            let data = frame.into_data().unwrap_or_default();
            let needed = input.len() + data.len();
            if needed > max_bytes {
                return Err(unreadable(&"length limit exceeded"));
            }
            let appended = input.append(&data, declared_bytes.min(max_bytes).max(needed));
            appended.map_err(|_| out_of_memory().closing())?;
        }
        let bytes = input.take_front(usize::MAX);
        let charged = bytes.len() * CALL_MEMORY_FACTOR;
        let memory = self.memory.charge(Purpose::Control, charged);
        let memory = memory.map_err(|_| out_of_memory())?;
        Ok(CallBody { bytes, memory })
    }

    /// Charges an answer until the next one is built.
    pub(super) fn charge_answer(&self, reply: &Reply) -> Result<(), HttpError> {
        self.answer_memory.take();
        let bytes = usize::try_from(reply.body().size_hint().lower()).unwrap_or(usize::MAX);
        let charge = self.memory.charge(Purpose::Control, bytes);
        let charge = charge.map_err(|_| out_of_memory())?;
        *self.answer_memory.borrow_mut() = Some(charge);
        Ok(())
    }
}

fn unreadable(error: &impl std::fmt::Display) -> HttpError {
    let detail = format!("the body can't be read: {error}");
    HttpError::new(StatusCode::BAD_REQUEST, "invalid-request", detail).closing()
}

/// The error of a call or answer that does not fit into the memory budget.
fn out_of_memory() -> HttpError {
    let detail = "no memory is left for this call or its answer";
    let error = HttpError::new(StatusCode::SERVICE_UNAVAILABLE, "out-of-memory", detail);
    error.with_retry_after(OUT_OF_MEMORY_RETRY_AFTER_US)
}

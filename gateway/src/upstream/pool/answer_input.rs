//! The input of an engine connection that is read and not handled yet.

use std::io;
use std::net::TcpStream;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use violetgate_memory_budget::{Charge, MemoryBudget, Purpose};

use crate::net;

const READ_CHUNK_BYTES: usize = 16 * 1024;
/// How often a read that does not fit into the memory budget is tried again.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Input that is read and not handled yet.
pub(super) struct AnswerInput {
    bytes: Vec<u8>,
    budget: MemoryBudget,
    charge: Charge,
}

impl AnswerInput {
    pub(super) fn new(budget: &MemoryBudget) -> Self {
        AnswerInput {
            bytes: Vec::new(),
            budget: budget.clone(),
            charge: budget.empty_charge(Purpose::Result),
        }
    }

    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Waits for input and appends one chunk. Returns its size; 0 at the end of the stream. While a
    /// chunk does not fit into the memory budget, the kernel holds it.
    pub(super) async fn read(&mut self, stream: &Async<TcpStream>) -> io::Result<usize> {
        stream.readable().await?;
        loop {
            self.charge_chunk().await;
            let bytes = &mut self.bytes;
            let read = net::read_shared(stream.get_ref(), READ_CHUNK_BYTES, |chunk| {
                bytes.reserve_exact(chunk.len());
                bytes.extend_from_slice(chunk);
                Ok::<_, io::Error>(())
            });
            self.reduce_charge();
            match read {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    stream.readable().await?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => return read,
            }
        }
    }

    /// Removes the first `size` bytes.
    pub(super) fn discard_front(&mut self, size: usize) {
        self.bytes.drain(..size.min(self.bytes.len()));
        self.bytes.shrink_to_fit();
        self.reduce_charge();
    }

    /// Waits until one more chunk fits into the memory budget, and charges it.
    async fn charge_chunk(&self) {
        loop {
            let release = self.budget.next_release();
            let needed = self.bytes.len() + READ_CHUNK_BYTES;
            if self.charge.resize(needed).is_ok() {
                return;
            }
            let retry = async {
                Timer::after(MEMORY_RETRY_INTERVAL).await;
            };
            release.or(retry).await;
        }
    }

    fn reduce_charge(&self) {
        // A smaller charge always fits.
        let _ = self.charge.resize(self.bytes.capacity());
    }
}

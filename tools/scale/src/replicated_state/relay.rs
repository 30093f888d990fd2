//! A relay in front of the leader that counts what other members send to it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use violetgate_raft::Message;
use violetgate_replica_runtime::PeerMessage;

use crate::error::ScaleError;

/// Bytes before a frame: its length.
const HEADER_BYTES: usize = 4;
const BUFFER_BYTES: usize = 16 * 1024;
/// The longest frame that is decoded; longer ones end the connection.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// How long the leader may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What the leader was sent by others.
#[derive(Debug, Default)]
pub struct RelayCounts {
    /// Read-index requests, which come before routing.
    pub read_index_requests: AtomicU64,
    /// All frames.
    pub frames: AtomicU64,
    /// All bytes.
    pub bytes: AtomicU64,
}

/// Starts a relay to the leader. It ends with the process.
///
/// # Errors
///
/// The machine gives no address or no thread.
pub fn start(leader: SocketAddr, counts: Arc<RelayCounts>) -> Result<SocketAddr, ScaleError> {
    let listener =
        TcpListener::bind("127.0.0.1:0").map_err(ScaleError::io("listen for a relay"))?;
    let address = listener
        .local_addr()
        .map_err(ScaleError::io("address of a relay"))?;
    spawn("relay", move || {
        for stream in listener.incoming().flatten() {
            let counts = Arc::clone(&counts);
            // A connection that gets no thread is closed, and its member tries again.
            let _ = spawn("relayed", move || {
                relay_connection(&stream, leader, &counts)
            });
        }
    })?;
    Ok(address)
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), ScaleError> {
    let thread = std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(work);
    thread.map(drop).map_err(ScaleError::io("start a thread"))
}

/// Relays one connection until either side ends it.
fn relay_connection(member: &TcpStream, leader: SocketAddr, counts: &RelayCounts) {
    let Ok(upstream) = TcpStream::connect_timeout(&leader, CONNECT_TIMEOUT) else {
        return;
    };
    let _ = upstream.set_nodelay(true);
    let _ = member.set_nodelay(true);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let _ = copy_back(&upstream, member);
            end_both(member, &upstream);
        });
        let _ = copy_and_count(member, &upstream, counts);
        end_both(member, &upstream);
    });
}

fn end_both(member: &TcpStream, upstream: &TcpStream) {
    let _ = member.shutdown(Shutdown::Both);
    let _ = upstream.shutdown(Shutdown::Both);
}

fn copy_back(mut from: &TcpStream, mut to: &TcpStream) -> std::io::Result<u64> {
    std::io::copy(&mut from, &mut to)
}

fn copy_and_count(
    mut from: &TcpStream,
    mut to: &TcpStream,
    counts: &RelayCounts,
) -> std::io::Result<()> {
    let mut buffer = [0; BUFFER_BYTES];
    let mut frames = FrameCounter::default();
    loop {
        let read = from.read(&mut buffer)?;
        let bytes = buffer.get(..read).unwrap_or_default();
        if bytes.is_empty() {
            return Ok(());
        }
        to.write_all(bytes)?;
        counts.bytes.fetch_add(bytes.len() as u64, Relaxed);
        frames.on_bytes(bytes, counts)?;
    }
}

/// The frames of one connection; the first one is a greeting.
#[derive(Default)]
struct FrameCounter {
    buffer: Vec<u8>,
    greeted: bool,
}

impl FrameCounter {
    fn on_bytes(&mut self, bytes: &[u8], counts: &RelayCounts) -> std::io::Result<()> {
        self.buffer.extend_from_slice(bytes);
        while let Some(length) = self.complete_frame()? {
            let body = self
                .buffer
                .get(HEADER_BYTES..HEADER_BYTES + length)
                .unwrap_or_default();
            if std::mem::replace(&mut self.greeted, true) {
                counts.frames.fetch_add(1, Relaxed);
                counts
                    .read_index_requests
                    .fetch_add(u64::from(is_read_index_request(body)), Relaxed);
            }
            self.buffer.drain(..HEADER_BYTES + length);
        }
        Ok(())
    }

    /// The length of the first frame, once it is complete.
    fn complete_frame(&self) -> std::io::Result<Option<usize>> {
        let Some((length, rest)) = self.buffer.split_first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
        Ok((rest.len() >= length).then_some(length))
    }
}

fn is_read_index_request(body: &[u8]) -> bool {
    matches!(
        postcard::from_bytes(body),
        Ok(PeerMessage::Raft(Message::ReadIndex { .. }))
    )
}

//! A relay in front of the leader that counts the messages that other members send to it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use violetgate_raft::Message;
use violetgate_replica_runtime::PeerMessage;

use crate::error::ScaleError;

/// The length of a frame's header, which holds the length of its body.
const HEADER_BYTES: usize = 4;
const BUFFER_BYTES: usize = 16 * 1024;
/// The maximum length of a frame's body; a longer frame ends the connection.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// How long the leader may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Counts of what the other members have sent to the leader.
#[derive(Debug, Default)]
pub struct RelayCounts {
    /// Read-index requests, which a member sends to confirm its state before it routes.
    pub read_index_requests: AtomicU64,
    /// All frames except the greetings of connections.
    pub frames: AtomicU64,
    /// All bytes, including those of headers and greetings.
    pub bytes: AtomicU64,
}

/// Starts a relay to the leader, and returns the relay's address. The relay runs until the process
/// ends.
///
/// # Errors
///
/// Returns an error if the operating system refuses an address or a thread.
pub fn start(leader: SocketAddr, counts: Arc<RelayCounts>) -> Result<SocketAddr, ScaleError> {
    let listener =
        TcpListener::bind("127.0.0.1:0").map_err(ScaleError::io("listen for a relay"))?;
    let address = listener
        .local_addr()
        .map_err(ScaleError::io("read the address of a relay"))?;
    spawn("relay", move || {
        for stream in listener.incoming().flatten() {
            let counts = Arc::clone(&counts);
            // If no thread can be started, the connection is closed and its member tries again.
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

/// Relays one connection until either side closes it.
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

/// Counts the frames of one connection. The first frame is a greeting, which is not counted.
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

    /// Returns the length of the body of the first frame, or `None` if the frame is not complete.
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

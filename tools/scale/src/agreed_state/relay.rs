//! A relay before the leader that counts what other members say to it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

use violetgate_raft::Message;
use violetgate_replica_runtime::Frame;

use crate::error::ScaleError;

/// Bytes before a frame: its length.
const HEAD: usize = 4;
const CHUNK: usize = 16 * 1024;
/// The longest frame that is looked into; longer ones end the connection.
const LONGEST_FRAME: usize = 16 << 20;
/// How long the leader may take to accept a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// What the leader was sent by others.
#[derive(Debug, Default)]
pub struct Counts {
    /// Questions before routing.
    pub questions: AtomicU64,
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
pub fn start(leader: SocketAddr, counts: Arc<Counts>) -> Result<SocketAddr, ScaleError> {
    let listener =
        TcpListener::bind("127.0.0.1:0").map_err(ScaleError::io("listen for a relay"))?;
    let address = listener
        .local_addr()
        .map_err(ScaleError::io("address of a relay"))?;
    spawn("relay", move || {
        for stream in listener.incoming().flatten() {
            let counts = Arc::clone(&counts);
            // A connection that gets no thread is closed, and its member tries again.
            let _ = spawn("relayed", move || carry(&stream, leader, &counts));
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

/// Carries one connection until either side ends it.
fn carry(member: &TcpStream, leader: SocketAddr, counts: &Counts) {
    let Ok(upstream) = TcpStream::connect_timeout(&leader, CONNECT) else {
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
    counts: &Counts,
) -> std::io::Result<()> {
    let mut chunk = [0; CHUNK];
    let mut frames = Frames::default();
    loop {
        let read = from.read(&mut chunk)?;
        let bytes = chunk.get(..read).unwrap_or_default();
        if bytes.is_empty() {
            return Ok(());
        }
        to.write_all(bytes)?;
        counts.bytes.fetch_add(bytes.len() as u64, Relaxed);
        frames.take(bytes, counts)?;
    }
}

/// The frames of one connection; the first one is a greeting.
#[derive(Default)]
struct Frames {
    buffer: Vec<u8>,
    greeted: bool,
}

impl Frames {
    fn take(&mut self, bytes: &[u8], counts: &Counts) -> std::io::Result<()> {
        self.buffer.extend_from_slice(bytes);
        while let Some(length) = self.whole()? {
            let body = self.buffer.get(HEAD..HEAD + length).unwrap_or_default();
            if std::mem::replace(&mut self.greeted, true) {
                counts.frames.fetch_add(1, Relaxed);
                counts
                    .questions
                    .fetch_add(u64::from(is_question(body)), Relaxed);
            }
            self.buffer.drain(..HEAD + length);
        }
        Ok(())
    }

    /// The length of the first frame, once it is whole.
    fn whole(&self) -> std::io::Result<Option<usize>> {
        let Some((length, rest)) = self.buffer.split_first_chunk::<HEAD>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > LONGEST_FRAME {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
        Ok((rest.len() >= length).then_some(length))
    }
}

fn is_question(body: &[u8]) -> bool {
    matches!(
        postcard::from_bytes(body),
        Ok(Frame::Raft(Message::ReadIndex { .. }))
    )
}

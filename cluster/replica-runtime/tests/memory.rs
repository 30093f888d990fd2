//! Tests that messages of other replicas stay within the memory budget.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod replica_group;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use async_io::Timer;
use replica_group::ReplicaGroup;
use violetgate_memory_budget::MemoryBudget;

const MEMORY_BYTES: usize = 8 << 20;
/// The length that a frame states, and how much of it is sent.
const FRAME_BYTES: u32 = 12 << 20;
const SENT_BYTES: usize = 4 << 20;
const CONNECTIONS: u64 = 12;
const WAIT: Duration = Duration::from_secs(30);

/// A hello of another replica, as a frame.
fn hello(from: u64, to: u64) -> Vec<u8> {
    let listen: Option<SocketAddr> = Some((Ipv4Addr::LOCALHOST, 9).into());
    let hello = (*b"VGCL", 1u16, "test", from, to, 7u64, listen);
    let body = postcard::to_stdvec(&hello).unwrap();
    let mut frame = u32::try_from(body.len()).unwrap().to_le_bytes().to_vec();
    frame.extend(body);
    frame
}

/// Connects as another replica and sends half of a large frame. Returns when the connection is
/// closed or all is sent.
fn send_half_frame(addr: SocketAddr, from: u64) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_write_timeout(Some(WAIT)).unwrap();
    stream.write_all(&hello(from, 1)).unwrap();
    let _ = stream.read(&mut [0; 64]).unwrap();
    let _ = stream.write_all(&FRAME_BYTES.to_le_bytes());
    let _ = stream.write_all(&vec![0; SENT_BYTES]);
    stream
}

/// Connections that stop within a large frame were held without a common limit: up to 16 MiB on each
/// of 64.
#[test]
fn half_frames_stay_within_the_memory_budget() {
    let mut group = ReplicaGroup::new("half-frames", 1..=1);
    group.memory = MemoryBudget::new(MEMORY_BYTES);
    group.create_and_start(1, vec![1]);
    let addr = group.address(1);
    let senders = std::thread::spawn(move || {
        let streams = (0..CONNECTIONS).map(|number| send_half_frame(addr, 10 + number));
        streams.collect::<Vec<_>>()
    });
    async_io::block_on(group.executor.run(async {
        let deadline = Instant::now() + WAIT;
        while !senders.is_finished() {
            assert!(Instant::now() < deadline, "the senders are not done");
            Timer::after(Duration::from_millis(5)).await;
        }
        let leader = group.leader().await;
        assert_eq!(leader.id(), 1, "the replica still works");
    }));
    let counts = group.memory.counts();
    assert!(
        counts.rejected > 0 && counts.peak <= MEMORY_BYTES,
        "{counts:?}"
    );
    assert_eq!(senders.join().unwrap().len() as u64, CONNECTIONS);
}

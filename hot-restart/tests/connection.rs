//! Tests of the connection over real Unix sockets. Listeners are passed with their accept queues,
//! incomplete frames are not delivered, and a socket file left by a dead process is replaced.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

use async_io::Async;
use violetgate_hot_restart::connection::{connect, listen, HandoverConnection};
use violetgate_hot_restart::{Message, MAX_PART_BYTES};

/// A temporary directory that is removed at the end of the test.
struct TestFolder(PathBuf);

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl TestFolder {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("violetgate-handover-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        TestFolder(folder)
    }

    fn socket(&self) -> PathBuf {
        self.0.join("handover")
    }
}

/// Returns a connection and the raw stream at its other end.
fn connection_to_raw_stream() -> (HandoverConnection, UnixStream) {
    let (ours, theirs) = UnixStream::pair().unwrap();
    let connection = HandoverConnection::new(Async::new(ours).unwrap()).unwrap();
    (connection, theirs)
}

/// A client that connects before the listener is passed is accepted by the process that receives
/// the listener, even though the sender has closed its copy.
#[test]
fn listener_is_passed_with_its_queue() {
    let folder = TestFolder::new("queue");
    async_io::block_on(async {
        let listener = listen(&folder.socket()).unwrap();
        let metadata = std::fs::metadata(folder.socket()).unwrap();
        assert_eq!(metadata.permissions().mode() & 0o777, 0o600);
        let mut successor = connect(&folder.socket()).await.unwrap();
        let hello = Message::Hello {
            min_version: 1,
            max_version: 1,
        };
        successor.send(&hello, &[]).await.unwrap();
        let accepted = listener.accept().await.unwrap().0;
        let mut predecessor = HandoverConnection::new(accepted).unwrap();
        let received = predecessor.receive().await.unwrap().unwrap();
        assert!(matches!(received.message, Message::Hello { .. }) && received.sockets.is_empty());

        let clients = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut early_client = TcpStream::connect(clients.local_addr().unwrap()).unwrap();
        early_client.write_all(b"early").unwrap();
        let offer = Message::Offer {
            version: 1,
            part_count: 0,
        };
        predecessor.send(&offer, &[clients.as_fd()]).await.unwrap();
        drop(clients);
        let mut received = successor.receive().await.unwrap().unwrap();
        assert_eq!(received.message, offer);
        let clients = TcpListener::from(received.sockets.pop().unwrap());
        let mut bytes = [0; 5];
        clients.accept().unwrap().0.read_exact(&mut bytes).unwrap();
        assert_eq!(&bytes, b"early");
        drop(predecessor);
        assert!(
            successor.receive().await.unwrap().is_none(),
            "the connection stays open after the peer closed it"
        );
    });
}

#[test]
fn socket_file_is_kept_while_its_process_lives_and_replaced_after() {
    let folder = TestFolder::new("place");
    let first = listen(&folder.socket()).unwrap();
    assert_eq!(
        listen(&folder.socket()).err().map(|error| error.kind()),
        Some(ErrorKind::AddrInUse)
    );
    drop(first);
    assert!(
        folder.socket().exists(),
        "dropping the listener must leave the socket file, as the death of its process does"
    );
    assert!(async_io::block_on(connect(&folder.socket())).is_err());
    listen(&folder.socket()).unwrap();
}

#[test]
fn path_that_is_too_long_is_an_error() {
    let folder = TestFolder::new("long-path");
    assert!(listen(&folder.0.join("x".repeat(200))).is_err());
}

#[test]
fn frame_that_is_cut_anywhere_is_not_received() {
    let message = Message::StatePart {
        number: 3,
        bytes: vec![7; 300],
    };
    let (sender, mut raw) = connection_to_raw_stream();
    async_io::block_on(sender.send(&message, &[])).unwrap();
    let mut frame = vec![0; 4 + 300 + 16];
    let length = raw.read(&mut frame).unwrap();
    frame.truncate(length);
    for cut in 0..=length {
        let (mut receiver, mut raw) = connection_to_raw_stream();
        raw.write_all(&frame[..cut]).unwrap();
        drop(raw);
        let received = async_io::block_on(receiver.receive()).unwrap();
        let received = received.map(|received| received.message);
        assert_eq!(
            received,
            (cut == length).then(|| message.clone()),
            "cut at byte {cut}"
        );
    }
}

#[test]
fn malformed_frame_is_an_error() {
    for malformed in [[0xff; 8].to_vec(), [3, 0, 0, 0, 0xff, 0xff, 0xff].to_vec()] {
        let (mut receiver, mut raw) = connection_to_raw_stream();
        raw.write_all(&malformed).unwrap();
        drop(raw);
        assert!(
            async_io::block_on(receiver.receive()).is_err(),
            "accepted the malformed frame {malformed:?}"
        );
    }
}

#[test]
fn message_that_is_too_long_is_not_sent() {
    let too_long = Message::StatePart {
        number: 0,
        bytes: vec![0; MAX_PART_BYTES + 100],
    };
    let (sender, _raw) = connection_to_raw_stream();
    assert!(async_io::block_on(sender.send(&too_long, &[])).is_err());
}

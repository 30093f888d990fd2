//! Tests of a single connection, most of them without a socket.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use std::io::{Read, Write};

use violetgate_policy::interface::{NewQuery, Progress};

use super::command_queue::write_attempt_line;
use super::partial_result::is_rows;
use super::*;
use crate::exchange::{Exchange, Request};
use crate::request_memory::RequestMemory;

fn attempt(id: QueryId) -> Attempt {
    let query = NewQuery {
        id,
        client_timeout: 1_000_000,
        ..NewQuery::default()
    };
    let request = Request {
        query,
        received: 0,
        id_text: format!("{id:016x}").into(),
        class: "lookup".into(),
        idempotency_key: None,
        statement: b"SELECT 1".as_slice().into(),
        memory: RequestMemory::default(),
    };
    Attempt {
        exchange: Exchange::new(request),
        number: 0,
        engine: 3,
        priority: Some(2),
        memory_grant_mb: 0,
        begin_by: 1_500,
        deadline: 1_500,
    }
}

fn connection() -> Rc<Connection> {
    Connection::new(
        1,
        3,
        SocketAddr::from(([127, 0, 0, 1], 1)),
        0,
        Rc::new(Stats::new([].into_iter())),
        MemoryBudget::new(1_000_000),
    )
}

/// An attempt that waits for its connection has certainly not run. Once it is cancelled, it must
/// not be sent, because an engine that drains must get no further attempts.
#[test]
fn attempts_of_which_nothing_was_written_never_ran() {
    let connection = connection();
    (1..=3).for_each(|id| connection.queue_attempt(attempt(id), 0));
    assert_eq!(
        connection.cancel(1, 0),
        CancelOutcome::NeverSent,
        "cancelled before it was written"
    );
    connection.flush(0).unwrap();
    let mut ends: Vec<_> = connection
        .take_unwritten()
        .into_iter()
        .map(|end| (end.query, end.outcome))
        .collect();
    ends.sort_unstable_by_key(|e| e.0);
    assert_eq!(ends, [(2, Outcome::NeverSent), (3, Outcome::NeverSent)]);
    connection.queue_attempt(attempt(4), 0);
    let end = connection.end();
    assert!(end.interrupted.is_empty());
    assert_eq!(
        end.unsent
            .iter()
            .map(|unsent| (unsent.attempt.exchange.id(), unsent.broken_connections))
            .collect::<Vec<_>>(),
        [(4, 1)]
    );
    assert!(
        connection.end().unsent.is_empty(),
        "a second end returns no attempts"
    );
}

/// A written attempt is sent completely, may have run, and is cancelled at the engine. Its
/// connection accepts no further attempts, because a late answer could be taken for the answer to
/// a later attempt.
#[test]
fn attempts_that_were_written_may_have_run_and_are_cancelled() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut engine, _) = listener.accept().unwrap();
    let connection = connection();
    connection.set_connected(Rc::new(Async::new(stream).unwrap()));
    connection.queue_attempt(attempt(1), 0);
    connection.queue_attempt(attempt(2), 0);
    connection.flush(0).unwrap();
    connection.set_priority(1, 3);
    assert_eq!(connection.cancel(1, 0), CancelOutcome::MayHaveRun);
    connection.flush(0).unwrap();
    assert!(connection.is_retired.get());
    let ends: Vec<_> = connection
        .end()
        .interrupted
        .into_iter()
        .map(|end| (end.query, end.outcome))
        .collect();
    assert_eq!(ends, [(2, Outcome::ConnectionLost)]);
    let mut sent = String::new();
    engine.read_to_string(&mut sent).unwrap();
    let run_command =
        |id| format!("serve {id:016x} sort=lookup,patience=2,level=2 8\r\nSELECT 1\r\n");
    let rest = format!("weigh {:016x} 3\r\ncancel {:016x}\r\n", 1, 1);
    assert_eq!(sent, [run_command(1), run_command(2), rest].concat());
}

/// Duplicate pages and answers with unknown ids are skipped, and the result is complete and
/// reported once. An answer that can't belong to its attempt is an error, which ends the
/// connection.
#[test]
fn duplicates_and_unknown_answers_are_skipped_and_malformed_ones_end_it() {
    let connection = connection();
    let first_attempt = attempt(1);
    connection.queue_attempt(first_attempt, 0);
    connection
        .state
        .borrow_mut()
        .open
        .get_mut(&1)
        .unwrap()
        .has_begun = true;
    let page = |id: u8, word: &str, row: &str| {
        format!("{id:016x} {word} {}\r\n{row}\r\n", row.len()).into_bytes()
    };
    let (first, next) = (
        page(1, "ok chunks=2,spent=5", "a\tb\tc\n"),
        page(1, "batch at=1", "d\te\tf\n"),
    );
    let other = page(9, "batch at=4", "x\ty\tz\n");
    let bytes = [&other[..], &first, &first, &other, &next, &next, &first].concat();
    let mut used = 0;
    let Some(UpstreamEvent::Ended(end)) = connection.next_event(&bytes, &mut used, 0).unwrap()
    else {
        unreachable!("expected the end of the attempt")
    };
    assert_eq!((end.query, end.outcome), (1, Outcome::Completed));
    assert_eq!(end.pages.concat(), b"a\tb\tc\nd\te\tf\n");
    assert!(
        connection
            .next_event(&bytes, &mut used, 0)
            .unwrap()
            .is_none()
            && used == bytes.len()
    );
    for malformed in [
        page(2, "batch at=0", ""),
        page(2, "ok chunks=999", ""),
        page(2, "ok -", "a\tb\n"),
    ] {
        connection.queue_attempt(attempt(2), 0);
        connection
            .state
            .borrow_mut()
            .open
            .get_mut(&2)
            .unwrap()
            .has_begun = true;
        assert!(connection.next_event(&malformed, &mut 0, 0).is_err());
    }
    assert!(!is_rows(b"a\t\xff\tc\n"), "invalid UTF-8 is not a row");
}

/// The parser classifies any received bytes as a complete answer, the start of one, or garbage. An
/// engine can't make it fail in another way.
#[test]
fn bytes_are_an_answer_or_the_start_of_one_or_garbage() {
    let ok = b"0000000000000001 ok chunks=2,spent=5,wanted=9 6\r\na\tb\tc\n\r\n";
    for end in 0..ok.len() {
        assert!(
            matches!(codec::parse(&ok[..end]), Parsed::Incomplete),
            "{end}"
        );
    }
    assert!(matches!(codec::parse(ok), Parsed::Complete(_, n) if n == ok.len()));
    for bytes in [
        &b"\r\n"[..],
        b"0000000000000001 ok - 0\n",
        b"0000000000000001 what - 0\r\n\r\n",
        b"0000000000000001 ok - 99999999999999999999999\r\n",
        b"0000000000000001 ok - 1\r\nabc",
        b"0000000000000001 ok chunks 0\r\n\r\n",
        b"1 ok - 0\r\n\r\n",
        b"\xff\xff \xff\r\n",
        &[b'x'; 2000],
    ] {
        assert!(
            matches!(codec::parse(bytes), Parsed::Malformed),
            "{}",
            bytes.escape_ascii()
        );
    }
}

/// Progress of a running attempt is reported with the attempt's number and does not end it. Reports
/// of an unknown kind, without an amount, or about an unknown query are skipped, and the connection
/// stays open.
#[test]
fn progress_is_reported_and_ends_nothing() {
    let connection = connection();
    connection.queue_attempt(
        Attempt {
            number: 2,
            ..attempt(1)
        },
        0,
    );
    connection
        .state
        .borrow_mut()
        .open
        .get_mut(&1)
        .unwrap()
        .has_begun = true;
    let report = |id: u8, fields: &str| format!("{id:016x} progress {fields} 0\r\n\r\n");
    let skipped = [
        report(1, "n=mood,amount=3"),
        report(1, "n=disk"),
        report(1, "-"),
        report(1, "n=stall,amount=7"),
        report(9, "n=disk,amount=1"),
    ];
    let passed_on = [
        report(1, "n=advance,amount=0.25"),
        report(1, "amount=96.5,n=disk"),
        report(1, "n=stall,amount=1"),
        report(1, "n=stall,amount=2"),
    ];
    let answer = format!("{:016x} ok chunks=1 6\r\na\tb\tc\n\r\n", 1);
    let bytes = [skipped.concat(), passed_on.concat(), answer]
        .concat()
        .into_bytes();
    let mut used = 0;
    let mut reported = Vec::new();
    loop {
        match connection
            .next_event(&bytes, &mut used, 0)
            .unwrap()
            .unwrap()
        {
            UpstreamEvent::Progressed(event) => {
                reported.push((event.query, event.number, event.progress));
            }
            UpstreamEvent::Ended(end) => {
                let end = (end.query, end.number, end.outcome);
                break assert_eq!(end, (1, 2, Outcome::Completed));
            }
            UpstreamEvent::OutOfMemory => unreachable!("the budget is larger than the answers"),
        }
    }
    let all = [
        Progress::FractionDone(0.25),
        Progress::Spilling(96.5),
        Progress::WaitingForMemory,
        Progress::WaitingForBulkLoad,
    ];
    assert_eq!(reported, all.map(|n| (1, 2, n)));
    assert!(used == bytes.len() && !connection.has_ended.get());
}

/// A socket that accepts a few bytes at a time.
struct SlowSocket {
    accepted: Vec<u8>,
    bytes_at_a_time: usize,
}

impl Write for SlowSocket {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let size = bytes.len().min(self.bytes_at_a_time);
        self.accepted.extend_from_slice(&bytes[..size]);
        Ok(size)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// However few bytes the socket accepts at a time, commands are written whole and in order, and the
/// statement is not copied.
#[test]
fn commands_are_written_whole_in_pieces_of_any_size() {
    let run_command =
        |id| format!("serve {id:016x} sort=lookup,patience=2,level=2 8\r\nSELECT 1\r\n");
    let pages = format!("read {0:016x} 1\r\nread {0:016x} 2\r\n", 1);
    for bytes_at_a_time in 1..60 {
        let mut socket = SlowSocket {
            accepted: Vec::new(),
            bytes_at_a_time,
        };
        let mut queue = CommandQueue::default();
        let mut open = HashMap::new();
        let memory = MemoryBudget::new(1_000_000);
        for id in [1, 2] {
            queue.push(Command::Run {
                query: id,
                attempt: 0,
            });
            open.insert(id, ActiveAttempt::new(attempt(id), 0, &memory));
            queue.push(Command::ReadPages {
                request_id: format!("{:016x}", 1).into(),
                pages: 1..3,
            });
        }
        let outcome = queue.write_to(&mut socket, &mut open, 0, || {});
        assert!(matches!(outcome, Ok(WriteOutcome::Done)));
        let all = [run_command(1), pages.clone(), run_command(2), pages.clone()];
        assert_eq!(String::from_utf8(socket.accepted).unwrap(), all.concat());
        let statement = &open[&1].attempt.exchange.request.statement;
        assert_eq!(
            Rc::strong_count(statement),
            1,
            "no command holds it any more"
        );
    }
}

/// A memory grant is sent in the fields of the command. Without a grant the field is absent.
#[test]
fn a_memory_grant_is_a_field_of_the_request() {
    let command = |grant_mb| {
        let mut out = Vec::new();
        write_attempt_line(
            &mut out,
            &Attempt {
                memory_grant_mb: grant_mb,
                ..attempt(1)
            },
            0,
        );
        String::from_utf8(out).unwrap()
    };
    assert!(
        command(384).contains("patience=2,reserve=384,level=2 8\r\n"),
        "{}",
        command(384)
    );
    assert!(!command(0).contains("reserve"));
}

//! One connection, most of the time without a socket.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use std::io::Read;

use violetgate_policy::interface::{NewQuery, Progress};

use super::command_queue::write_attempt;
use super::partial_result::is_rows;
use super::*;
use crate::exchange::{Exchange, Request};

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
    )
}

/// What waits for its connection has surely not run, and no longer may: one that left late would
/// break the rule on drains.
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
    assert!(connection.end().unsent.is_empty(), "it ends once");
}

/// What was written goes out whole, may have run, and is given up with a word to the engine; its
/// connection takes nothing further, so that no later attempt meets its late answer.
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
    let serve = |id| format!("serve {id:016x} sort=lookup,patience=2,level=2 8\r\nSELECT 1\r\n");
    let rest = format!("weigh {:016x} 3\r\ncancel {:016x}\r\n", 1, 1);
    assert_eq!(sent, [serve(1), serve(2), rest].concat());
}

/// Second copies and answers under unknown ids are skipped; the result is whole and once. What
/// can't be the answer to anything still ends the connection.
#[test]
fn duplicates_and_unknown_answers_are_skipped_and_malformed_ones_end_it() {
    let connection = connection();
    let exchange = attempt(1);
    connection.queue_attempt(exchange, 0);
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
    let (zero, one) = (
        page(1, "ok chunks=2,spent=5", "a\tb\tc\n"),
        page(1, "batch at=1", "d\te\tf\n"),
    );
    let other = page(9, "batch at=4", "x\ty\tz\n");
    let bytes = [&other[..], &zero, &zero, &other, &one, &one, &zero].concat();
    let mut used = 0;
    let Some(UpstreamEvent::Ended(end)) = connection.next_event(&bytes, &mut used, 0).unwrap()
    else {
        unreachable!("an end")
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
    for corrupt in [
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
        assert!(connection.next_event(&corrupt, &mut 0, 0).is_err());
    }
    assert!(!is_rows(b"a\t\xff\tc\n"), "noise is no text");
}

/// No bytes that an engine may send end in anything but an answer, a wait for more, or garbage.
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
            matches!(codec::parse(bytes), Parsed::Garbage),
            "{}",
            bytes.escape_ascii()
        );
    }
}

/// News of a running attempt is passed on under its number and ends nothing; a kind that is not
/// known, news without a figure, and news of what nobody here has running are skipped, and the
/// connection goes on.
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
    let note = |id: u8, fields: &str| format!("{id:016x} progress {fields} 0\r\n\r\n");
    let skipped = [
        note(1, "n=mood,amount=3"),
        note(1, "n=disk"),
        note(1, "-"),
        note(1, "n=stall,amount=7"),
        note(9, "n=disk,amount=1"),
    ];
    let told = [
        note(1, "n=advance,amount=0.25"),
        note(1, "amount=96.5,n=disk"),
        note(1, "n=stall,amount=1"),
        note(1, "n=stall,amount=2"),
    ];
    let answer = format!("{:016x} ok chunks=1 6\r\na\tb\tc\n\r\n", 1);
    let bytes = [skipped.concat(), told.concat(), answer]
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

/// Memory that is granted stands in the request's fields; where none is, nothing does.
#[test]
fn a_memory_grant_is_a_field_of_the_request() {
    let fields = |grant_mb| {
        let mut out = Vec::new();
        write_attempt(
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
        fields(384).contains("patience=2,reserve=384,level=2 8\r\n"),
        "{}",
        fields(384)
    );
    assert!(!fields(0).contains("reserve"));
}

//! Clients that cancel or disconnect at the wrong instant.

use super::*;

/// A cancel request that is read before its query, which is in the socket already: nothing of the
/// query begins. It was forgotten as the query was read, and the query was sent after its client
/// had cancelled it.
#[test]
fn a_cancel_request_read_before_its_query_cancels_it() {
    let front = Front::new(8);
    let (mut client, cancel) = front.session();
    let mut other = front.connect();
    other.send(&cancel[..9]);
    front.until("it is accepted", || front.sessions.len() == 2);
    other.send(&cancel[9..]);
    client.send(&query(1));
    front.until("it is answered", || {
        client.reads().ends_with(b"Z\0\0\0\x05I")
    });
    assert!(client.says("57014"), "{}", client.got.escape_ascii());
    assert_eq!(
        *front.sink.submitted.borrow(),
        *front.sink.withdrawn.borrow()
    );
}

/// A cancel request that comes once its query is answered means no other: the next one is served.
#[test]
fn a_cancel_request_after_the_answer_cancels_no_other_query() {
    let front = Front::new(8);
    let (mut client, cancel) = front.session();
    client.send(&query(1));
    front.until("it is taken", || front.sink.submitted.borrow().len() == 1);
    front.sink.refuse(1);
    front.until("it is answered", || client.says("53000"));
    let mut other = front.connect();
    other.send(&cancel);
    front.until("it is carried out", || other.is_over());
    client.got.clear();
    client.send(&query(2));
    front.until("the next is taken", || {
        front.sink.submitted.borrow().len() == 2
    });
    front.sink.refuse(2);
    front.until("and answered", || client.reads().ends_with(b"Z\0\0\0\x05I"));
    assert!(client.says("53000") && front.sink.withdrawn.borrow().is_empty());
}

/// A cancel request that comes in the very moment of its query's answer means no other either.
#[test]
fn a_cancel_request_at_the_moment_of_the_answer_cancels_no_other_query() {
    let front = Front::new(8);
    let (mut client, cancel) = front.session();
    client.send(&query(1));
    front.until("it is taken", || front.sink.submitted.borrow().len() == 1);
    let word = |at: usize| u32::from_be_bytes(cancel[at..at + 4].try_into().unwrap());
    let key = CancelKey {
        pid: word(8),
        secret: word(12),
    };
    front.sessions.cancel_targets.cancel(key);
    front.sink.refuse(1);
    front.until("it is answered, one way or the other", || {
        client.reads().ends_with(b"Z\0\0\0\x05I")
    });
    client.got.clear();
    client.send(&query(2));
    front.until("the next is taken", || {
        front.sink.submitted.borrow().len() == 2
    });
    front.sink.refuse(2);
    front.until("and answered", || client.says("53000"));
}

/// A client that has gone before its queries are read: none of them begins, neither the first nor
/// those behind it. The close was seen only after the first was taken and sent.
#[test]
fn queries_of_a_client_that_disconnected_before_they_were_read_do_not_begin() {
    for queries in [1, 3] {
        let front = Front::new(8);
        let (mut client, _) = front.session();
        (1..=queries).for_each(|id| client.send(&query(id)));
        drop(client);
        front.until("its session ends", || front.sessions.len() == 0);
        assert!(
            front.sink.submitted.borrow().is_empty(),
            "{:?}",
            front.sink.submitted.borrow()
        );
    }
}

/// A client that sends more than is read ahead while it waits, and then goes: its query is
/// withdrawn all the same. Its end lay behind what was not read, and was not seen before the
/// query's time was over.
#[test]
fn a_disconnect_behind_more_than_is_read_ahead_is_noticed() {
    let front = Front::new(8);
    let (mut client, _) = front.session();
    client.send(&query(1));
    front.until("it is taken", || front.sink.submitted.borrow().len() == 1);
    let flood: Vec<u8> = (2..600).flat_map(query).collect();
    assert!(flood.len() > 2 * READ_AHEAD_BYTES);
    client.send(&flood);
    drop(client);
    front.until("it is withdrawn", || *front.sink.withdrawn.borrow() == [1]);
    assert_eq!(*front.sink.submitted.borrow(), [1]);
    front.until("its session ends", || front.sessions.len() == 0);
}

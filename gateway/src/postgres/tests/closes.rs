//! Connections that the program closes, and what crosses the close.

use super::*;

/// Every place is taken by a request: a new connection is answered so and closed without a reset,
/// though its start-up packet has come; and a cancel request is carried out, which frees a place.
#[test]
fn at_the_limit_a_connection_gets_its_error_and_a_cancel_request_is_carried_out() {
    let front = Front::new(1);
    let (mut client, cancel) = front.session();
    client.send(&query(1));
    front.until("it is taken", || front.sink.submitted.borrow().len() == 1);
    let mut more = front.connect();
    more.send(&startup());
    front.until("it is answered", || more.is_over());
    assert!(more.says("53300"), "{}", more.got.escape_ascii());
    drop(more);
    front.until("it is gone", || front.sessions.lingering() == 0);
    let mut other = front.connect();
    front.until("it is accepted, to be rejected", || {
        front.sessions.lingering() == 1
    });
    other.send(&cancel);
    front.until("the query is cancelled", || client.says("57014"));
    assert_eq!(*front.sink.withdrawn.borrow(), [1]);
}

/// A query crosses the close of a session at rest: its client reads an end, and no reset, which
/// might have taken the last answer along; and the query, read after the close, is not begun.
#[test]
fn a_query_that_crosses_the_close_is_not_begun_and_causes_no_reset() {
    let front = Front::new(8);
    let (mut client, _) = front.session();
    front.sessions.close_idle("shutdown");
    front.until("it is closed", || client.is_over());
    client.send(&query(1));
    front.until("it is over", || {
        front.sessions.len() + front.sessions.lingering() == 0
    });
    assert!(client.is_over() && front.sink.submitted.borrow().is_empty());
}

/// A query that is here as its session is answered to go is served first.
#[test]
fn a_query_that_arrived_before_the_close_is_served() {
    let front = Front::new(8);
    let (mut client, _) = front.session();
    client.send(&query(1));
    front.sessions.close_idle("shutdown");
    front.until("it is taken", || front.sink.submitted.borrow().len() == 1);
    front.sink.refuse(1);
    front.until("it is answered and closed", || client.is_over());
    assert!(client.says("53000"));
}

/// The next query is here, unread, as the last answer of a session that is to go is written: it is
/// served too. It was left in the socket, and the close over it became a reset.
#[test]
fn a_query_that_arrives_with_the_last_answer_is_served() {
    let front = Front::new(8);
    let (mut client, _) = front.session();
    client.send(&query(1));
    front.until("it is taken", || front.sink.submitted.borrow().len() == 1);
    front.sessions.drain.hand_over();
    front.sink.refuse(1);
    client.send(&query(2));
    front.until("the second is taken", || {
        front.sink.submitted.borrow().len() == 2
    });
    front.sink.refuse(2);
    front.until("and all is closed", || client.is_over());
    assert_eq!(client.got.windows(5).filter(|w| w == b"53000").count(), 2);
}

/// What breaks the protocol gets its error and an end, however much lies behind it unread: no reset
/// takes it along.
#[test]
fn an_error_over_unread_input_is_not_lost_in_a_reset() {
    let front = Front::new(8);
    let (mut client, _) = front.session();
    client.send(b"Q\xff\xff\xff\xff");
    client.send(&vec![b'x'; 100_000]);
    front.until("it is answered", || client.is_over());
    assert!(client.says("08P01"), "{}", client.got.escape_ascii());
    front.until("nothing is left", || {
        front.sessions.len() + front.sessions.lingering() == 0
    });
    assert!(client.is_over(), "an end, and no reset");
}

/// Connections that are just being closed hold a place each, and there are few of those: with none
/// left a close is done at once. Clients that come in a crowd can't use up the descriptors by it.
#[test]
fn few_connections_linger_in_their_close_at_a_time() {
    let front = Front::new(8);
    let mut clients: Vec<_> = (0..8).map(|_| front.session().0).collect();
    front.sessions.close_idle("shutdown");
    front.until("all are closed", || clients.iter_mut().all(Client::is_over));
    assert!(
        front.sessions.lingering() <= 2,
        "{}",
        front.sessions.lingering()
    );
    // Those that linger see their clients go.
    clients
        .iter()
        .for_each(|c| c.stream.shutdown(Shutdown::Both).unwrap());
    front.until("nothing is left", || {
        front.sessions.len() + front.sessions.lingering() == 0
    });
}

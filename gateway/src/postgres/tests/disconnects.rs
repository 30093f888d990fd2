//! Tests of cancel requests and disconnects that race with queries and answers.

use super::*;

/// A cancel request that is read before its query, which is already in the socket, cancels the
/// query. The cancel request must not be forgotten when the query is read; otherwise the query
/// would be sent although its client has cancelled it.
#[test]
fn a_cancel_request_read_before_its_query_cancels_it() {
    let server = TestServer::new(8);
    let (mut client, cancel) = server.session();
    let mut other = server.connect();
    other.send(&cancel[..9]);
    server.run_until("the connection is accepted", || server.sessions.len() == 2);
    other.send(&cancel[9..]);
    client.send(&query(1));
    server.run_until("the query is answered", || {
        client.read_all().ends_with(b"Z\0\0\0\x05I")
    });
    assert!(
        client.received_code("57014"),
        "{}",
        client.received.escape_ascii()
    );
    assert_eq!(
        *server.sink.submitted.borrow(),
        *server.sink.withdrawn.borrow()
    );
}

/// A cancel request that arrives after the answer to its query does not cancel the next query.
#[test]
fn a_cancel_request_after_the_answer_cancels_no_other_query() {
    let server = TestServer::new(8);
    let (mut client, cancel) = server.session();
    client.send(&query(1));
    server.run_until("submitted", || server.sink.submitted.borrow().len() == 1);
    server.sink.reject(1);
    server.run_until("the query is answered", || client.received_code("53000"));
    let mut other = server.connect();
    other.send(&cancel);
    server.run_until("the cancel request is carried out", || other.reached_end());
    client.received.clear();
    client.send(&query(2));
    server.run_until("the next query is submitted", || {
        server.sink.submitted.borrow().len() == 2
    });
    server.sink.reject(2);
    server.run_until("answered", || client.read_all().ends_with(b"Z\0\0\0\x05I"));
    assert!(client.received_code("53000") && server.sink.withdrawn.borrow().is_empty());
}

/// A cancel request that arrives together with the answer to its query does not cancel the next
/// query.
#[test]
fn a_cancel_request_at_the_moment_of_the_answer_cancels_no_other_query() {
    let server = TestServer::new(8);
    let (mut client, cancel) = server.session();
    client.send(&query(1));
    server.run_until("submitted", || server.sink.submitted.borrow().len() == 1);
    let word = |at: usize| u32::from_be_bytes(cancel[at..at + 4].try_into().unwrap());
    let key = CancelKey {
        pid: word(8),
        secret: word(12),
    };
    server.sessions.cancel_targets.cancel(key);
    server.sink.reject(1);
    server.run_until("the query is answered or cancelled", || {
        client.read_all().ends_with(b"Z\0\0\0\x05I")
    });
    client.received.clear();
    client.send(&query(2));
    server.run_until("the next query is submitted", || {
        server.sink.submitted.borrow().len() == 2
    });
    server.sink.reject(2);
    server.run_until("answered", || client.received_code("53000"));
}

/// If a client disconnects before its queries are read, none of them is submitted. The disconnect
/// must be noticed before the first query is sent.
#[test]
fn queries_of_a_client_that_disconnected_before_they_were_read_do_not_begin() {
    for queries in [1, 3] {
        let server = TestServer::new(8);
        let (mut client, _) = server.session();
        (1..=queries).for_each(|id| client.send(&query(id)));
        drop(client);
        server.run_until("the session ends", || server.sessions.len() == 0);
        assert!(
            server.sink.submitted.borrow().is_empty(),
            "{:?}",
            server.sink.submitted.borrow()
        );
    }
}

/// If a client sends more than the read-ahead limit and then disconnects, its open query is
/// withdrawn. The end of the stream follows input that is not read, but the disconnect must be
/// noticed before the query's deadline.
#[test]
fn a_disconnect_behind_more_than_is_read_ahead_is_noticed() {
    let server = TestServer::new(8);
    let (mut client, _) = server.session();
    client.send(&query(1));
    server.run_until("submitted", || server.sink.submitted.borrow().len() == 1);
    let excess_input: Vec<u8> = (2..600).flat_map(query).collect();
    assert!(excess_input.len() > 2 * READ_AHEAD_BYTES);
    client.send(&excess_input);
    drop(client);
    server.run_until("withdrawn", || *server.sink.withdrawn.borrow() == [1]);
    assert_eq!(*server.sink.submitted.borrow(), [1]);
    server.run_until("the session ends", || server.sessions.len() == 0);
}

/// Guards against a query that begins for a client which has gone while its query before was open.
#[test]
fn no_query_begins_for_a_client_that_went_during_the_one_before() {
    let server = TestServer::new(8);
    let (mut client, _) = server.session();
    (1..=2).for_each(|id| client.send(&query(id)));
    server.run_until("submitted", || server.sink.submitted.borrow().len() == 1);
    drop(client);
    server.run_until("the session ends", || server.sessions.len() == 0);
    assert_eq!(*server.sink.withdrawn.borrow(), [1]);
    assert_eq!(*server.sink.submitted.borrow(), [1]);
}

/// Guards against a client that is taken for gone as it has closed its sending side only: it gets
/// the answers to all that it has sent.
#[test]
fn a_client_that_closed_only_its_sending_side_gets_its_answers() {
    let server = TestServer::new(8);
    let (mut client, _) = server.session();
    (1..=2).for_each(|id| client.send(&query(id)));
    client.stream.shutdown(Shutdown::Write).unwrap();
    for id in 1..=2 {
        server.run_until("submitted", || {
            server.sink.submitted.borrow().len() == id as usize
        });
        client.received.clear();
        server.sink.reject(id);
        server.run_until("answered", || client.received_code("53000"));
    }
    server.run_until("the session ends", || client.reached_end());
    assert!(server.sink.withdrawn.borrow().is_empty());
}

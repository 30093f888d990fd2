//! Tests of connections that the process closes, and of input that arrives during the close.

use super::*;

/// If every connection up to the limit has an open request, a new one gets an error and is closed
/// without a reset, although it has sent its start-up packet. A cancel request is still carried
/// out, because the connection of the cancelled query can then be evicted.
#[test]
fn at_the_limit_a_connection_gets_its_error_and_a_cancel_request_is_carried_out() {
    let server = TestServer::new(1);
    let (mut client, cancel) = server.session();
    client.send(&query(1));
    server.run_until("submitted", || server.sink.submitted.borrow().len() == 1);
    let mut rejected = server.connect();
    rejected.send(&startup());
    server.run_until("error sent, connection closed", || rejected.reached_end());
    assert!(
        rejected.received_code("53300"),
        "{}",
        rejected.received.escape_ascii()
    );
    drop(rejected);
    server.run_until("lingering has ended", || server.sessions.lingering() == 0);
    let mut other = server.connect();
    server.run_until("the connection is accepted to be rejected", || {
        server.sessions.lingering() == 1
    });
    other.send(&cancel);
    server.run_until("the query is cancelled", || client.received_code("57014"));
    assert_eq!(*server.sink.withdrawn.borrow(), [1]);
}

/// If a query arrives while an idle session is being closed, the client reads an end of stream and
/// no reset, which could destroy the last answer. The query is not submitted.
#[test]
fn a_query_that_crosses_the_close_is_not_begun_and_causes_no_reset() {
    let server = TestServer::new(8);
    let (mut client, _) = server.session();
    server.sessions.close_idle("shutdown");
    server.run_until("the session is closed", || client.reached_end());
    client.send(&query(1));
    server.run_until("no connection is left", || {
        server.sessions.len() + server.sessions.lingering() == 0
    });
    assert!(client.reached_end() && server.sink.submitted.borrow().is_empty());
}

/// A query that has arrived when the close of its session is requested is still served.
#[test]
fn a_query_that_arrived_before_the_close_is_served() {
    let server = TestServer::new(8);
    let (mut client, _) = server.session();
    client.send(&query(1));
    server.sessions.close_idle("shutdown");
    server.run_until("submitted", || server.sink.submitted.borrow().len() == 1);
    server.sink.reject(1);
    server.run_until("answered, then closed", || client.reached_end());
    assert!(client.received_code("53000"));
}

/// If a session has to close, and a further query has arrived when it writes its answer, that query
/// is served too. If the query were left in the socket, the close would become a reset.
#[test]
fn a_query_that_arrives_with_the_last_answer_is_served() {
    let server = TestServer::new(8);
    let (mut client, _) = server.session();
    client.send(&query(1));
    server.run_until("submitted", || server.sink.submitted.borrow().len() == 1);
    server.sessions.drain.hand_over();
    server.sink.reject(1);
    client.send(&query(2));
    server.run_until("the second query is submitted", || {
        server.sink.submitted.borrow().len() == 2
    });
    server.sink.reject(2);
    server.run_until("the connection is closed", || client.reached_end());
    assert_eq!(
        client.received.windows(5).filter(|w| w == b"53000").count(),
        2
    );
}

/// A client that violates the protocol gets an error and an end of stream, even if much input after
/// the violation is unread. A reset would destroy the error.
#[test]
fn an_error_over_unread_input_is_not_lost_in_a_reset() {
    let server = TestServer::new(8);
    let (mut client, _) = server.session();
    client.send(b"Q\xff\xff\xff\xff");
    client.send(&vec![b'x'; 100_000]);
    server.run_until("error sent, connection closed", || client.reached_end());
    assert!(
        client.received_code("08P01"),
        "{}",
        client.received.escape_ascii()
    );
    server.run_until("no connection is left", || {
        server.sessions.len() + server.sessions.lingering() == 0
    });
    assert!(client.reached_end(), "the connection ends without a reset");
}

/// The number of connections that linger before their close is limited, and beyond the limit a
/// connection is closed at once. Otherwise many clients together could use up the file descriptors.
#[test]
fn few_connections_linger_in_their_close_at_a_time() {
    let server = TestServer::new(8);
    let mut clients: Vec<_> = (0..8).map(|_| server.session().0).collect();
    server.sessions.close_idle("shutdown");
    server.run_until("all closed", || clients.iter_mut().all(Client::reached_end));
    assert!(
        server.sessions.lingering() <= 2,
        "{}",
        server.sessions.lingering()
    );
    // Lingering connections end when their clients disconnect.
    clients
        .iter()
        .for_each(|c| c.stream.shutdown(Shutdown::Both).unwrap());
    server.run_until("no connection is left", || {
        server.sessions.len() + server.sessions.lingering() == 0
    });
}

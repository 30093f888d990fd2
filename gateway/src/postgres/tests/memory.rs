//! Tests of sessions whose input or requests do not fit into the memory budget.

use rustix::net::sockopt;
use violetgate_memory_budget::Purpose;

use super::*;
use crate::exchange::{Pages, QueryResult};

/// Enough for the input of two large statements at a time, and for one such request.
const SMALL_MEMORY_BYTES: usize = 320 * 1024;
const LARGE_STATEMENT_BYTES: usize = 60 * 1024;
/// More results of the largest size than the kernel buffers for a connection.
const MANY_RESULTS: QueryId = 500;

/// A query with a statement of the given size.
fn long_query(id: QueryId, bytes: usize) -> Vec<u8> {
    let head = format!("/* method=lookup,rid={id:016x},budget=9000 */ SELECT '");
    let text = format!("{head}{}'", "y".repeat(bytes - head.len() - 1));
    [
        b"Q",
        &(text.len() as u32 + 5).to_be_bytes()[..],
        text.as_bytes(),
        b"\0",
    ]
    .concat()
}

impl RecordingSink {
    /// Answers a query with a result of nearly the largest size.
    fn serve(&self, id: QueryId, memory: &MemoryBudget) {
        let exchange = self.open.borrow_mut().remove(&id).unwrap();
        let row = format!("a\tb\t{}\n", "x".repeat(1_000));
        let page: Box<[u8]> = row.repeat(60).into_bytes().into();
        let charge = memory.charge(Purpose::Result, page.len()).unwrap();
        exchange.complete(Answer::Served(Rc::new(QueryResult {
            pages: Pages::new(vec![page], charge),
            query: id,
            attempt: 0,
        })));
    }
}

impl TestServer {
    fn with_little_memory() -> Self {
        Self::with_memory(16, MemoryBudget::new(SMALL_MEMORY_BYTES))
    }

    /// Lets a client send the first part of a large statement, until the server holds it.
    fn begin_large_statement(&self, client: &mut Client, id: QueryId) {
        let before = self.memory.used_for(Purpose::Input);
        client.send(&long_query(id, LARGE_STATEMENT_BYTES)[..LARGE_STATEMENT_BYTES - 1_000]);
        let reclaimed = self.memory.counts().reclaimed;
        self.run_until("the input is held", || {
            self.memory.used_for(Purpose::Input) >= before + LARGE_STATEMENT_BYTES / 2
                || self.memory.counts().reclaimed > reclaimed
        });
    }
}

/// Clients that stopped within a large statement used up the memory for input. The oldest of them is
/// told so and closed, and a client that sends its whole statement is served.
#[test]
fn the_oldest_half_statement_is_dropped_for_a_whole_one() {
    let server = TestServer::with_little_memory();
    let mut stopped: Vec<_> = (0..2).map(|_| server.session().0).collect();
    for client in &mut stopped {
        server.begin_large_statement(client, 1);
    }
    let (mut whole, _) = server.session();
    whole.send(&long_query(2, LARGE_STATEMENT_BYTES));
    server.run_until("submitted", || *server.sink.submitted.borrow() == [2]);
    server.run_until("the first one is closed", || stopped[0].reached_end());
    assert!(stopped[0].received_code("53200"));
    server.sink.reject(2);
    server.run_until("answered", || whole.received_code("53000"));
}

/// The input of a client that has sent a complete request before outlasts that of clients which have
/// not.
#[test]
fn clients_without_a_complete_request_are_closed_first() {
    let server = TestServer::with_little_memory();
    let (mut known, _) = server.session();
    known.send(&query(1));
    server.run_until("submitted", || *server.sink.submitted.borrow() == [1]);
    server.sink.reject(1);
    server.run_until("answered", || known.received_code("53000"));
    server.begin_large_statement(&mut known, 2);
    let mut unknown: Vec<_> = (0..3).map(|_| server.session().0).collect();
    for client in &mut unknown {
        server.begin_large_statement(client, 3);
    }
    server.run_until("the first unknown client is closed", || {
        unknown[0].reached_end()
    });
    known.send(&long_query(2, LARGE_STATEMENT_BYTES)[LARGE_STATEMENT_BYTES - 1_000..]);
    server.run_until("the known client's statement is submitted", || {
        *server.sink.submitted.borrow() == [1, 2]
    });
}

/// A large statement that does not fit is rejected, and the session goes on. Small
/// requests are accepted beside any number of large ones.
#[test]
fn a_large_request_that_does_not_fit_is_rejected_and_small_ones_are_not() {
    let server = TestServer::with_little_memory();
    let mut clients: Vec<_> = (0..3).map(|_| server.session().0).collect();
    for (id, client) in (1..).zip(&mut clients) {
        client.send(&long_query(id, LARGE_STATEMENT_BYTES));
        server.run_until("submitted or rejected", || {
            server.sink.submitted.borrow().contains(&id) || client.received_code("53200")
        });
    }
    let last = &mut clients[2];
    assert!(last.received_code("53200"), "three large ones do not fit");
    last.send(&query(4));
    server.run_until("the small one is submitted", || {
        server.sink.submitted.borrow().contains(&4)
    });
}

/// A client that reads nothing keeps its results from being released. When other results need the
/// memory, its connection is closed.
#[test]
fn an_unread_answer_is_dropped_when_other_answers_need_its_memory() {
    let server = TestServer::with_memory(16, MemoryBudget::new(MEMORY_BYTES));
    let (mut client, _) = server.session();
    sockopt::set_socket_recv_buffer_size(&client.stream, 2_048).unwrap();
    let needs_all_memory = || server.memory.charge(Purpose::Result, MEMORY_BYTES).is_err();
    let is_reclaimed = || server.memory.counts().reclaimed > 0;
    for id in 1..=MANY_RESULTS {
        client.send(&query(id));
        server.run_until("submitted", || server.sink.submitted.borrow().contains(&id));
        server.sink.serve(id, &server.memory);
        server.run_until("written or blocked", || {
            server.sessions.busy_count() == 0 || needs_all_memory() && is_reclaimed()
        });
        if is_reclaimed() {
            break;
        }
    }
    assert!(is_reclaimed(), "the client never blocked the connection");
    server.run_until("the session ends", || server.sessions.busy_count() == 0);
    assert_eq!(server.memory.used(), 0);
}

/// Whatever ends a session, all its memory is returned.
#[test]
fn all_memory_is_returned_when_sessions_end() {
    let server = TestServer::with_little_memory();
    let mut clients: Vec<_> = (0..4).map(|_| server.session().0).collect();
    clients[0].send(&query(1));
    server.run_until("submitted", || *server.sink.submitted.borrow() == [1]);
    clients[0].send(&long_query(2, LARGE_STATEMENT_BYTES));
    server.begin_large_statement(&mut clients[1], 3);
    clients[2].send(&long_query(4, LARGE_STATEMENT_BYTES));
    server.run_until("submitted", || *server.sink.submitted.borrow() == [1, 4]);
    drop(clients);
    server.run_until("all memory is returned", || server.memory.used() == 0);
}

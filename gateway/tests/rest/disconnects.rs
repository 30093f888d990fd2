//! Clients that end their stream while a query is open: those that have gone, and those that still
//! wait.

use std::net::Shutdown;

use crate::support::{wait_until, GatewayProcess, HttpConnection};
use crate::{load, report, WINDOW};

/// More bytes of queries than the gateway reads ahead.
const EXCESS_BYTES: usize = 256 * 1024;

/// Sends a query that runs for a while, and more behind it. Returns once the first one runs.
fn send_queries(gateway: &GatewayProcess, first: &str, further: usize) -> HttpConnection {
    let mut client = gateway.http();
    client.post_query(&report(10_000, first), None);
    for number in 0..further {
        let key = format!("key-{number}");
        client.post_query(&load(number as u64, "rows=1"), Some(&key));
    }
    wait_until("the first query runs", || {
        gateway.upstreams.counts().running == 1
    });
    client
}

/// Guards against a query that begins for a client which has gone while an earlier query of it was
/// open: the end of its stream is behind requests that are read only after that query.
#[test]
fn no_query_begins_for_a_client_that_went_during_an_earlier_one() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let size = load(0, "rows=1").to_string().len();
    for further in [1, EXCESS_BYTES / size] {
        let before = gateway.upstreams.counts();
        drop(send_queries(&gateway, "ms=1500", further));
        wait_until("the first query has ended", || {
            gateway.upstreams.counts().running == 0
        });
        let after = gateway.upstreams.counts();
        assert_eq!(after.cancels, before.cancels + 1, "{further} further");
        assert_eq!(after.attempts(), before.attempts() + 1, "{further} further");
    }
}

/// Guards against a client that is taken for gone as it has closed its sending side only: it gets
/// the answers to all that it has sent.
#[test]
fn a_client_that_closed_only_its_sending_side_gets_its_answers() {
    let gateway = GatewayProcess::start(1, "", WINDOW);
    let mut client = send_queries(&gateway, "ms=600", 1);
    let socket = client.stream.get_ref();
    socket.shutdown(Shutdown::Write).unwrap();
    let statuses = [client.read().status, client.read().status];
    assert_eq!(statuses, [200, 200]);
    assert!(client.is_closed());
}

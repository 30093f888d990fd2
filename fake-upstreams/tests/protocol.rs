//! Checks the exact bytes that fake engines and the fake event bus send, since the gateway and the
//! demo are tested against them.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use violetgate_fake_upstreams::{FakeUpstreams, Fault, Profile};

/// Starts warm engines, so that statements take the same time from the start.
fn start_upstreams(engines: usize) -> FakeUpstreams {
    FakeUpstreams::start(engines, Profile::default()).unwrap()
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    stream
}

fn serve(request_id: &str, fields: &str, statement: &str) -> String {
    format!(
        "serve {request_id} {fields} {}\r\n{statement}\r\n",
        statement.len()
    )
}

/// Sends commands, reads as many bytes as `expected` has, and compares them.
fn exchange(stream: &mut TcpStream, commands: &str, expected: &str) {
    stream.write_all(commands.as_bytes()).unwrap();
    let mut answer = vec![0; expected.len()];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(String::from_utf8_lossy(&answer), expected);
}

#[test]
fn an_engine_answers_with_rows_and_their_cost() {
    let upstreams = start_upstreams(1);
    let mut stream = connect(upstreams.addr("e-1").unwrap());
    exchange(
        &mut stream,
        &serve("00a1", "op=k1,reserve=64", "SELECT 1 /* ms=3 rows=2 */"),
        "00a1 ok chunks=1,spent=3,wanted=16 26\r\n00a1\te-1/0\t0\n00a1\te-1/0\t1\n\r\n",
    );
    exchange(
        &mut stream,
        &serve("00a2", "-", "SELECT 1 /* rows=0 untold */"),
        "00a2 ok chunks=1 0\r\n\r\n",
    );
    exchange(
        &mut stream,
        &serve("00a3", "-", "SELECT 1 /* fail */"),
        "00a3 error - 0\r\n\r\n",
    );
    exchange(&mut stream, "health t7\r\n", "t7 yes - 0\r\n\r\n");
    let counts = upstreams.counts();
    assert_eq!(counts.attempts(), 3);
    assert_eq!(counts.by_key.get("k1"), Some(&1));
    assert_eq!(counts.reserved.get("00a1"), Some(&64));
    assert_eq!((counts.running, counts.most_running), (0, 1));
}

#[test]
fn an_engine_reports_progress() {
    let upstreams = start_upstreams(1);
    let mut stream = connect(upstreams.addr("e-1").unwrap());
    exchange(
        &mut stream,
        &serve("00b1", "-", "SELECT 1 /* ms=40 rows=1 notes=10 */"),
        "00b1 progress n=mood,amount=1 0\r\n\r\n\
         00b1 progress n=advance,amount=0.250 0\r\n\r\n\
         00b1 progress n=advance,amount=0.500 0\r\n\r\n\
         00b1 progress n=advance,amount=0.750 0\r\n\r\n\
         00b1 ok chunks=1,spent=40,wanted=16 13\r\n00b1\te-1/0\t0\n\r\n",
    );
}

#[test]
fn further_pages_are_read_and_released() {
    let upstreams = start_upstreams(1);
    let mut stream = connect(upstreams.addr("e-1").unwrap());
    let row = |number: usize| format!("{:.<2999}\n", format!("00c1\te-1/0\t{number}"));
    let first = row(0) + &row(1);
    exchange(
        &mut stream,
        &serve("00c1", "-", "SELECT 1 /* rows=3 width=3000 */"),
        &format!("00c1 ok chunks=2,spent=2,wanted=16 6000\r\n{first}\r\n"),
    );
    let second = row(2);
    exchange(
        &mut stream,
        "read 00c1 1\r\n",
        &format!("00c1 batch at=1 3000\r\n{second}\r\n"),
    );
    exchange(&mut stream, "read 00c1 2\r\n", "00c1 error - 0\r\n\r\n");
    exchange(
        &mut stream,
        "release 00c1\r\nread 00c1 1\r\n",
        "00c1 error - 0\r\n\r\n",
    );
}

#[test]
fn an_engine_simulates_its_fault() {
    let upstreams = start_upstreams(1);
    let addr = upstreams.addr("e-1").unwrap();
    let mut stream = connect(addr);
    upstreams.fault("e-1", Fault::Refuse);
    let command = serve("00d1", "-", "SELECT 1");
    exchange(&mut stream, &command, "00d1 refused - 0\r\n\r\n");
    upstreams.fault("e-1", Fault::Error);
    exchange(&mut stream, &command, "00d1 error - 0\r\n\r\n");
    for fault in [Fault::ResetOnServe, Fault::ResetOnAnswer] {
        upstreams.fault("e-1", fault);
        let mut stream = connect(addr);
        stream.write_all(command.as_bytes()).unwrap();
        assert!(matches!(stream.read(&mut [0; 8]), Ok(0) | Err(_)));
    }
    upstreams.fault("e-1", Fault::None);
    exchange(
        &mut stream,
        &serve("00d2", "-", "SELECT 1 /* rows=9 width=3000 */"),
        "00d2 ok chunks=5,spent=2,wanted=16 6000\r\n",
    );
    let mut page = vec![0; 6002];
    stream.read_exact(&mut page).unwrap();
    upstreams.fault("e-1", Fault::CorruptPages);
    exchange(
        &mut stream,
        "read 00d2 1\r\n",
        "00d2 batch at=1 9\r\n\u{1}\u{2}x\r\n",
    );
}

#[test]
fn the_bus_sends_engines_and_its_last_offset() {
    let upstreams = start_upstreams(2);
    let addr = |id: &str| upstreams.addr(id).unwrap();
    let server = |id: &str, state: &str| {
        format!(
            "{{\"addr\":\"{}\",\"cell\":0,\"id\":\"{id}\",\"kind\":\"k\",\"started_ms\":0,\
             \"state\":\"{state}\",\"weight\":1,\"zone\":\"z\"}}",
            addr(id)
        )
    };
    let event = |offset: u32, full: bool, servers: &str| {
        format!(
            "{{\"offset\":{offset},\"topology\":{{\"full\":{full},\"servers\":[{servers}],\
             \"version\":{offset}}}}}\n"
        )
    };
    let both = format!(
        "{},{}",
        server("e-1", "in_service"),
        server("e-2", "in_service")
    );
    let mut stream = connect(upstreams.bus());
    exchange(&mut stream, "from 0\n", &event(1, true, &both));
    upstreams.drain("e-2");
    let drained = event(2, false, &server("e-2", "terminating"));
    exchange(&mut stream, "", &drained);
    // The bus sends its last offset once a second.
    exchange(&mut stream, "", "2\n");
    let mut resumed = connect(upstreams.bus());
    exchange(&mut resumed, "from 1\n", &drained);
}

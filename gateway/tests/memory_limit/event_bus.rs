//! An event bus that sends more than belongs to its events.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use super::{watch_usual_client, MANY_DESCRIPTORS, MEMORY_MB};
use crate::support::GatewayProcess;

/// Nearly the longest line that the gateway accepts.
const LINE_BYTES: usize = 1_000_000;

/// Starts a bus that sends this line to each connection, and returns its address.
fn start_bus(line: String) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = stream.and_then(|stream| answer(stream, &line));
        }
    });
    addr
}

fn answer(mut stream: TcpStream, line: &str) -> std::io::Result<()> {
    let mut request = [0; 64];
    let _ = stream.read(&mut request)?;
    stream.write_all(line.as_bytes())?;
    // Until the gateway closes the connection.
    let _ = stream.read(&mut request)?;
    Ok(())
}

fn withstand_bus(line: String) {
    let mut gateway = GatewayProcess::start_with_limits(2, "", MEMORY_MB, MANY_DESCRIPTORS);
    let bus = start_bus(line);
    gateway.restart_with_config(|config| config["bus"] = bus.to_string().into());
    watch_usual_client(&mut gateway, || ());
}

/// An event with a list of very many small values that are no engines was read into a tree that took
/// many times its size.
#[test]
fn an_event_of_many_small_values_stays_within_the_memory_limit() {
    let values = "0,".repeat(LINE_BYTES / 2);
    let offset = 2;
    withstand_bus(format!(
        "{{\"offset\":{offset},\"topology\":{{\"full\":true,\"servers\":[{values}0]}}}}\n"
    ));
}

/// A line that never ends.
#[test]
fn an_event_without_an_end_stays_within_the_memory_limit() {
    withstand_bus("9".repeat(LINE_BYTES * 3));
}

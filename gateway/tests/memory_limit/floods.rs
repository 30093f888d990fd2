//! One client that sends small or unsound requests on one connection as fast as it can.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use violetgate_test_harness::crowd::requests::{query, session};

use super::{watch_usual_client, MANY_DESCRIPTORS, MEMORY_MB};
use crate::support::GatewayProcess;

/// How many requests the client writes at a time.
const REQUESTS_PER_WRITE: u64 = 200;

const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// A client that floods one connection until it is dropped. It connects anew if it is closed.
struct Flood {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Flood {
    /// `request` returns the SQL of the request with the given number.
    fn start(addr: &str, request: impl Fn(u64) -> String + Send + 'static) -> Self {
        let addr = addr.to_owned();
        let is_over = Arc::new(AtomicBool::new(false));
        let ending = Arc::clone(&is_over);
        let thread = std::thread::spawn(move || {
            let mut number = 0;
            while !ending.load(Ordering::Relaxed) {
                let _ = flood_one_connection(&addr, &request, &mut number, &ending);
            }
        });
        Flood {
            is_over,
            thread: Some(thread),
        }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn flood_one_connection(
    addr: &str,
    request: impl Fn(u64) -> String,
    number: &mut u64,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    // The gateway may read more slowly than the client writes.
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let answers = stream.try_clone()?;
    let reader = std::thread::spawn(move || discard_all(answers));
    stream.write_all(&session(&[]))?;
    while !is_over.load(Ordering::Relaxed) {
        let numbers = *number..*number + REQUESTS_PER_WRITE;
        *number = numbers.end;
        let requests: Vec<u8> = numbers.flat_map(|n| query(&request(n))).collect();
        if !write_until_over(&mut stream, &requests, is_over) {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = reader.join();
    Ok(())
}

/// Writes all bytes, unless the flood is over before. Returns whether the connection is still open.
fn write_until_over(stream: &mut TcpStream, mut bytes: &[u8], is_over: &AtomicBool) -> bool {
    while !bytes.is_empty() && !is_over.load(Ordering::Relaxed) {
        match stream.write(bytes) {
            Ok(size) => bytes = &bytes[size..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
    true
}

fn discard_all(mut stream: TcpStream) {
    let mut buffer = vec![0; 64 * 1024];
    while matches!(stream.read(&mut buffer), Ok(size) if size > 0) {}
}

/// Floods a gateway and checks that it serves a usual client and stays within its memory limit.
fn withstand_flood(request: impl Fn(u64) -> String + Send + 'static) {
    let mut gateway = GatewayProcess::start_with_limits(4, "", MEMORY_MB, MANY_DESCRIPTORS);
    let addr = gateway.listen.clone();
    watch_usual_client(&mut gateway, || Flood::start(&addr, request));
}

/// Each request had a new id, which was remembered for 10 s, without a limit on their number.
#[test]
fn small_requests_at_full_speed_stay_within_the_memory_limit() {
    withstand_flood(|n| {
        format!(
            "/* method=lookup,rid={:016x},budget=1500 */ SELECT 1 FROM sales_3.plan",
            n | 1 << 40
        )
    });
}

/// Each request names another class, ordering key, table group or field that does not exist.
#[test]
fn unsound_requests_under_new_names_stay_within_the_memory_limit() {
    withstand_flood(|n| {
        let id = n | 1 << 40;
        match n % 6 {
            0 => format!("/* method=class{n},rid={id:016x},budget=1500 */ SELECT 1"),
            1 => format!("/* method=lookup,acct=tenant{n},rid={id:016x},budget=9 */ SELECT 1"),
            2 => format!("/* method=lookup,rid=x{n},budget=1500 */ SELECT 1"),
            3 => format!("/* method=lookup,rid={id:016x},budget=-{n} */ SELECT 1"),
            4 => format!("/* method=lookup,rid={id:016x},budget=1500"),
            _ => format!("/* f{n}=1,f{n}=2 */ SELECT {n} FROM s_{n}.t"),
        }
    });
}

/// Each request has a new ordering key and another table group.
#[test]
fn requests_with_new_ordering_keys_stay_within_the_memory_limit() {
    withstand_flood(|n| {
        let id = n | 1 << 40;
        format!("/* method=lookup,rid={id:016x},budget=1500,obj={id:016x} */ SELECT 1 FROM s_{n}.t")
    });
}

/// Each request has a new idempotency key.
#[test]
fn requests_with_new_idempotency_keys_stay_within_the_memory_limit() {
    withstand_flood(|n| {
        let id = n | 1 << 40;
        format!(
            "/* method=load,rid={id:016x},budget=1500,token={id:032x} */ INSERT INTO sales_3.plan VALUES (1)"
        )
    });
}

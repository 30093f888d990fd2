//! A client that sends small requests at a moderate rate and reads its answers.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use violetgate_acceptance::Verdict;
use violetgate_fake_upstreams::client::PostgresClient;

/// How long the client waits for an answer.
const BUDGET: Duration = Duration::from_secs(5);
/// The pause between two requests.
const INTERVAL: Duration = Duration::from_millis(20);

/// Counts the requests of a usual client.
#[derive(Debug, Default)]
pub struct UsualClient {
    requests: u64,
    served: u64,
    slowest: Duration,
}

impl UsualClient {
    /// Sends requests for a while, and calls `observe` after each.
    pub fn run_for(&mut self, addr: SocketAddr, time: Duration, mut observe: impl FnMut()) {
        let began = Instant::now();
        while began.elapsed() < time {
            self.send_request(addr);
            observe();
            std::thread::sleep(INTERVAL);
        }
    }

    /// Sends one request on a new session. If the session ends before the answer, the client tries
    /// again, as any client does.
    fn send_request(&mut self, addr: SocketAddr) {
        let began = Instant::now();
        self.requests += 1;
        let id = self.requests;
        let sql =
            format!("/* method=lookup,rid={id:016x},budget=5000 */ SELECT 1 FROM sales_3.plan");
        while began.elapsed() < BUDGET {
            if let Ok(rows) = query(addr, &sql) {
                self.served += u64::from(rows == 3);
                break;
            }
        }
        self.slowest = self.slowest.max(began.elapsed());
    }

    /// Adds the counts to the verdict. All requests have to be served.
    pub fn add_figures(&self, verdict: &mut Verdict, name: &str) {
        verdict.exactly(&format!("{name}_unserved"), self.requests - self.served, 0);
        verdict.figure(&format!("{name}_slowest_ms"), self.slowest.as_millis());
    }
}

/// Sends a query and returns the number of its rows, or 0 if it gets an error.
fn query(addr: SocketAddr, sql: &str) -> std::io::Result<usize> {
    let mut session = PostgresClient::new(TcpStream::connect_timeout(&addr, BUDGET)?, BUDGET)?;
    session.send(sql)?;
    Ok(session.read()?.map_or(0, |rows| rows.len()))
}

//! Clients that keep a session at each gateway and send one request at a time, to one gateway after
//! another.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use violetgate_fake_upstreams::client::{PostgresClient, Rows};
use violetgate_test_harness::lock;

use crate::tally::Tally;

pub const CLASSES: [&str; 3] = ["lookup", "report", "load"];
pub const TENANTS: [&str; 2] = ["north", "south"];

/// How long a client waits for each answer, and how long it tries to send a request.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// A request whose session fails within this time was probably sent while the gateway closed the
/// idle session. The client sends it again, once.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);
/// The pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(3);
/// The pause before the next gateway is tried if one does not accept a connection.
const CONNECT_PAUSE: Duration = Duration::from_millis(2);

/// Returns the text of a query. Engines discard duplicates of a `load` by its idempotency key.
pub fn statement(class: &str, tenant: &str, request_id: u64) -> String {
    let key = if class == "load" {
        format!(",token={request_id:032x},obj={:016x}", request_id % 7)
    } else {
        String::new()
    };
    format!(
        "/* method={class},rid={request_id:016x},budget=4000,acct={tenant}{key} */ \
         SELECT 1 FROM sales_17.orders /* ms=8 */"
    )
}

/// The state that all clients share.
pub struct Load {
    pub gateways: Vec<SocketAddr>,
    pub next_number: AtomicU64,
    pub is_over: AtomicBool,
    pub tally: Mutex<Tally>,
}

/// One request. Its class and tenant follow from its number, which is unique over all clients.
struct Request {
    number: u64,
    class: &'static str,
    tenant: &'static str,
}

impl Request {
    fn new(number: u64) -> Self {
        Request {
            number,
            class: CLASSES[number as usize % CLASSES.len()],
            tenant: TENANTS[number as usize / CLASSES.len() % TENANTS.len()],
        }
    }

    /// Returns the id of an attempt: of the first one, or of the one after a crossed close.
    fn id(&self, is_resent: bool) -> u64 {
        ((self.number + 1) << 8) + u64::from(is_resent)
    }
}

/// The outcome of an attempt at a request.
enum AttemptOutcome {
    Served,
    Refused,
    /// The request was probably sent while the gateway closed the idle session.
    RacedClose,
    Unanswered,
}

impl Load {
    /// Runs one client until the load is over.
    pub fn run_client(&self) {
        let mut sessions: Vec<Option<PostgresClient>> =
            self.gateways.iter().map(|_| None).collect();
        while !self.is_over.load(Relaxed) {
            let request = Request::new(self.next_number.fetch_add(1, Relaxed));
            let served = self.send(&mut sessions, &request);
            let mut tally = lock(&self.tally);
            tally.count(request.class, served);
            tally.count(request.tenant, served);
            drop(tally);
            std::thread::sleep(PAUSE);
        }
    }

    /// Sends a request and returns whether it was served. If a gateway does not accept connections,
    /// or closes the session as the request is sent, the next gateway is tried, until
    /// [`CLIENT_TIMEOUT`] has passed.
    fn send(&self, sessions: &mut [Option<PostgresClient>], request: &Request) -> bool {
        let mut gateway = request.number as usize % sessions.len();
        let mut is_resent = false;
        let deadline = Instant::now() + CLIENT_TIMEOUT;
        while Instant::now() < deadline {
            let was_open = sessions[gateway].is_some();
            if !was_open {
                sessions[gateway] = self.connect(gateway);
            }
            let Some(session) = &mut sessions[gateway] else {
                // The gateway does not listen or is closing. The next one may accept a connection.
                gateway = (gateway + 1) % self.gateways.len();
                std::thread::sleep(CONNECT_PAUSE);
                continue;
            };
            let may_resend = was_open && !is_resent;
            match self.attempt(session, request, is_resent, may_resend) {
                AttemptOutcome::Served => return true,
                AttemptOutcome::Refused => return false,
                AttemptOutcome::RacedClose => {
                    sessions[gateway] = None;
                    is_resent = true;
                    gateway = (gateway + 1) % self.gateways.len();
                }
                AttemptOutcome::Unanswered => {
                    sessions[gateway] = None;
                    return false;
                }
            }
        }
        false
    }

    fn connect(&self, gateway: usize) -> Option<PostgresClient> {
        let stream = TcpStream::connect(self.gateways[gateway]).ok()?;
        PostgresClient::new(stream, CLIENT_TIMEOUT).ok()
    }

    /// Sends a request once. Counts foreign rows, crossed closes and missing answers.
    fn attempt(
        &self,
        session: &mut PostgresClient,
        request: &Request,
        is_resent: bool,
        may_resend: bool,
    ) -> AttemptOutcome {
        let id = request.id(is_resent);
        let sent_at = Instant::now();
        let sent = session.send(&statement(request.class, request.tenant, id));
        let answer: std::io::Result<Rows> = sent.and_then(|()| session.read());
        let mut tally = lock(&self.tally);
        match answer {
            Ok(Ok(rows)) => {
                let own_id = format!("{id:016x}");
                let has_foreign_rows = rows.iter().any(|row| row[0] != own_id);
                tally.second_answers += u64::from(has_foreign_rows);
                AttemptOutcome::Served
            }
            Ok(Err(_)) => AttemptOutcome::Refused,
            Err(error)
                if may_resend
                    && sent_at.elapsed() < CLOSE_RACE_WINDOW
                    && error.kind() != ErrorKind::WouldBlock =>
            {
                tally.raced_close += 1;
                AttemptOutcome::RacedClose
            }
            Err(_) => {
                tally.unanswered += 1;
                AttemptOutcome::Unanswered
            }
        }
    }
}

//! One gateway process: its start and end, and what its metrics and log say.

use std::io::Result;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use rustix::process::Signal;
use violetgate_fake_upstreams::client::PostgresClient;
use violetgate_test_harness::{read_metrics, LogTarget, Metrics, ServerProcess};

/// How long a call to a process may take; a stopped one does not answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// A gateway process.
pub struct GatewayProcess {
    /// Its name in the fleet.
    pub name: String,
    /// Where PostgreSQL clients connect.
    pub listen: SocketAddr,
    /// The address of its management interface.
    pub management: SocketAddr,
    process: ServerProcess,
}

/// The state of a member in the metrics of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedState {
    /// It answers probes.
    Alive,
    /// It is suspected.
    Suspected,
    /// It is declared dead.
    Dead,
    /// It has left the fleet.
    Left,
}

impl ObservedState {
    /// Reads the value of the label `state`.
    fn from_label(label: &str) -> Option<Self> {
        match label {
            "alive" => Some(ObservedState::Alive),
            "suspected" => Some(ObservedState::Suspected),
            "dead" => Some(ObservedState::Dead),
            "left" => Some(ObservedState::Left),
            _ => None,
        }
    }
}

impl GatewayProcess {
    /// Creates a process that is not started yet; `folder` holds its `violetgate.hcl` and
    /// `config.json`.
    #[must_use]
    pub fn new(
        name: &str,
        listen: SocketAddr,
        management: SocketAddr,
        folder: PathBuf,
        program: &Path,
    ) -> Self {
        GatewayProcess {
            name: name.to_owned(),
            listen,
            management,
            process: ServerProcess::new(program, folder, LogTarget::File),
        }
    }

    /// Its process id, while it runs.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.process.pid()
    }

    /// Its log so far.
    #[must_use]
    pub fn log(&self) -> String {
        self.process.log()
    }

    /// How many lines of its log so far contain a text.
    #[must_use]
    pub fn count_log_lines(&self, text: &str) -> usize {
        let log = self.log();
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Starts it, or starts it again.
    ///
    /// # Errors
    ///
    /// Its log can't be opened, or the program can't be started.
    pub fn start(&mut self) -> Result<()> {
        self.process.start()
    }

    /// Kills it. If it has ended by itself before, that counts as a crash.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// How often it had ended by itself before it was killed.
    #[must_use]
    pub fn crash_count(&self) -> u64 {
        self.process.crash_count()
    }

    /// Sends a signal to it, if it runs.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Waits until it has ended by itself; `false` if it has not within the time.
    pub fn wait_for_exit(&mut self, within: Duration) -> bool {
        self.process.wait_for_exit(within)
    }

    /// Its metrics, by name with labels; empty if it does not answer.
    #[must_use]
    pub fn metrics(&self) -> Metrics {
        read_metrics(self.management, CALL_TIMEOUT).unwrap_or_default()
    }

    /// The state of another member in its view.
    #[must_use]
    pub fn observed_state(&self, other: &str) -> Option<ObservedState> {
        let prefix = format!("svc_fleet_member_seconds{{member=\"{other}\"");
        let metrics = self.metrics();
        let sample = metrics.keys().find(|name| name.starts_with(&prefix))?;
        let (_, label) = sample.split_once("state=\"")?;
        ObservedState::from_label(label.split('"').next()?)
    }

    /// Whether it reports that its link to another member is cut.
    #[must_use]
    pub fn reports_cut_link(&self, other: &str) -> bool {
        let prefix = format!("svc_fleet_link_cut_seconds{{member=\"{other}\"");
        self.metrics().keys().any(|name| name.starts_with(&prefix))
    }

    /// The number of gateways that it reckons with.
    #[must_use]
    pub fn fleet_size(&self) -> Option<u32> {
        let size = self.metrics().get("svc_fleet_share").copied();
        size.map(|size| size as u32)
    }

    /// Sends one request; returns whether it was answered with rows.
    #[must_use]
    pub fn serves_request(&self, request_id: u64) -> bool {
        let request = || {
            let stream = TcpStream::connect_timeout(&self.listen, CALL_TIMEOUT)?;
            let mut client = PostgresClient::new(stream, REQUEST_TIMEOUT)?;
            client.send(&format!(
                "/* method=lookup,rid={request_id:016x},budget=2500 */ SELECT rows=1 FROM sales_17.orders"
            ))?;
            client.read()
        };
        request().is_ok_and(|rows| rows.is_ok())
    }
}

//! Starts and stops one gateway process, and reads its metrics and log.

use std::io::Result;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use rustix::process::Signal;
use violetgate_fake_upstreams::client::PostgresClient;
use violetgate_test_harness::{read_metrics, LogTarget, Metrics, ServerProcess};

/// The timeout of a connection attempt or a read of metrics; a paused process does not answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout of a client's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// A gateway process that is a member of the fleet.
pub struct GatewayProcess {
    /// The member's name in the fleet.
    pub name: String,
    /// The address at which it accepts PostgreSQL clients.
    pub listen: SocketAddr,
    /// The address of its management interface, which serves the metrics.
    pub management: SocketAddr,
    process: ServerProcess,
}

/// The state of a member according to the metrics of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObservedState {
    /// The member answers probes.
    Alive,
    /// The member is suspected of having failed.
    Suspected,
    /// The member was declared dead.
    Dead,
    /// The member has left the fleet.
    Left,
}

impl ObservedState {
    /// Parses the value of the label `state`.
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

    /// The process id; `None` if the process is not started, or was killed or waited for.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.process.pid()
    }

    /// The contents of its log.
    #[must_use]
    pub fn log(&self) -> String {
        self.process.log()
    }

    /// Counts the lines of its log that contain a text.
    #[must_use]
    pub fn count_log_lines(&self, text: &str) -> usize {
        let log = self.log();
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Starts the process, or restarts it after it was killed or has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if its log can't be opened or the program can't be started.
    pub fn start(&mut self) -> Result<()> {
        self.process.start()
    }

    /// Kills the process. If it had already exited by itself, this counts as a crash.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// The number of crashes: how often [`GatewayProcess::kill`] found that the process had exited.
    #[must_use]
    pub fn crash_count(&self) -> u64 {
        self.process.crash_count()
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Waits until the process exits by itself; returns `false` if it did not within the time.
    pub fn wait_for_exit(&mut self, within: Duration) -> bool {
        self.process.wait_for_exit(within)
    }

    /// Reads its metrics, by name with labels; empty if the process does not answer.
    #[must_use]
    pub fn metrics(&self) -> Metrics {
        read_metrics(self.management, CALL_TIMEOUT).unwrap_or_default()
    }

    /// The state of another member in this member's view; `None` if the metrics don't name it.
    #[must_use]
    pub fn observed_state(&self, other: &str) -> Option<ObservedState> {
        let prefix = format!("svc_fleet_member_seconds{{member=\"{other}\"");
        let metrics = self.metrics();
        let sample = metrics.keys().find(|name| name.starts_with(&prefix))?;
        let (_, label) = sample.split_once("state=\"")?;
        ObservedState::from_label(label.split('"').next()?)
    }

    /// Whether its metrics report that its link to another member is cut.
    #[must_use]
    pub fn reports_cut_link(&self, other: &str) -> bool {
        let prefix = format!("svc_fleet_link_cut_seconds{{member=\"{other}\"");
        self.metrics().keys().any(|name| name.starts_with(&prefix))
    }

    /// The number of gateways among which it divides the fair shares.
    #[must_use]
    pub fn fleet_size(&self) -> Option<u32> {
        let size = self.metrics().get("svc_fleet_share").copied();
        size.map(|size| size as u32)
    }

    /// Sends one request and returns whether it was answered with rows.
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

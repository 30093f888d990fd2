//! Runs a single gateway as a child process in front of fake engines.

use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use violetgate_fake_upstreams::client::{HttpClient, PostgresClient};
use violetgate_fake_upstreams::FakeUpstreams;
use violetgate_test_harness::{
    reserve_tcp_addresses, wait_until, LogTarget, ProcessUsage, ServerProcess, SETTINGS_FILE,
};

use crate::{AcceptanceError, Result};

/// How long a client waits for each answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a gateway may take until it accepts connections.
const START_TIMEOUT: Duration = Duration::from_secs(10);
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The `limits.sockets` value of the gateway's configuration.
const SOCKET_LIMIT: u64 = 4096;

/// A running gateway process. Dropping it kills the process and removes its folder.
pub struct Gateway {
    process: ServerProcess,
    /// The address for PostgreSQL clients.
    pub postgres_addr: SocketAddr,
    /// The address for REST clients.
    pub rest_addr: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.process.kill();
        let _ = std::fs::remove_dir_all(self.process.folder());
    }
}

impl Gateway {
    /// Starts a gateway in front of fake engines and waits until it accepts REST connections.
    /// `rest_settings` holds additional lines of its `rest` block.
    ///
    /// # Errors
    ///
    /// The process can't be started, or does not accept connections within ten seconds.
    pub fn start(program: &Path, engines: &FakeUpstreams, rest_settings: &str) -> Result<Self> {
        let [postgres_addr, rest_addr] = reserve_tcp_addresses()?;
        let folder = std::env::temp_dir().join(format!("violetgate-prove-{}", std::process::id()));
        write_files(&folder, engines, postgres_addr, rest_addr, rest_settings)?;
        let mut process = ServerProcess::new(program, folder, LogTarget::Discard);
        process.start()?;
        let gateway = Gateway {
            process,
            postgres_addr,
            rest_addr,
        };
        wait_until(START_TIMEOUT, START_CHECK_INTERVAL, || {
            TcpStream::connect(rest_addr).is_ok()
        })
        .ok_or(AcceptanceError::NotListening)?;
        Ok(gateway)
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.process.is_running()
    }

    /// Returns the CPU time that all threads of the process have used so far, or zero if the
    /// process has ended.
    #[must_use]
    pub fn cpu_time(&self) -> Duration {
        self.usage().cpu
    }

    /// Returns the resident memory of the process in bytes, or zero if the process has ended.
    #[must_use]
    pub fn resident_bytes(&self) -> u64 {
        self.usage().resident_bytes
    }

    fn usage(&self) -> ProcessUsage {
        let usage = self.process.pid().and_then(ProcessUsage::read);
        usage.unwrap_or_default()
    }

    /// Opens a REST connection.
    ///
    /// # Errors
    ///
    /// The connection can't be opened.
    pub fn connect_http(&self) -> std::io::Result<HttpClient> {
        HttpClient::new(TcpStream::connect(self.rest_addr)?, CLIENT_TIMEOUT)
    }

    /// Opens a PostgreSQL session.
    ///
    /// # Errors
    ///
    /// The session can't be opened.
    pub fn connect_postgres(&self) -> std::io::Result<PostgresClient> {
        PostgresClient::new(TcpStream::connect(self.postgres_addr)?, CLIENT_TIMEOUT)
    }
}

fn write_files(
    folder: &PathBuf,
    engines: &FakeUpstreams,
    postgres_addr: SocketAddr,
    rest_addr: SocketAddr,
    rest_settings: &str,
) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let mut config = engines.config(
        "n0",
        &postgres_addr.to_string(),
        &violetgate_fake_upstreams::settings(),
    );
    config["limits"]["sockets"] = SOCKET_LIMIT.into();
    std::fs::write(folder.join("config.json"), config.to_string())?;
    let settings = format!("rest {{\n  listen = \"{rest_addr}\"\n{rest_settings}\n}}\n");
    std::fs::write(folder.join(SETTINGS_FILE), settings)
}

//! Runs a single gateway as a child process in front of fake engines.

use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::Value;
use violetgate_fake_upstreams::client::{HttpClient, PostgresClient};
use violetgate_fake_upstreams::FakeUpstreams;
use violetgate_test_harness::{
    reserve_tcp_addresses, wait_until, LogTarget, ProcessUsage, ServerProcess, Signal,
    SETTINGS_FILE,
};

use crate::{AcceptanceError, Result};

/// How long a client waits for each answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a gateway may take until it accepts connections.
const START_TIMEOUT: Duration = Duration::from_secs(10);
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The limits that a gateway's configuration states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfiguredLimits {
    /// `limits.sockets`: the maximum number of file descriptors.
    pub sockets: u64,
    /// `limits.memory_mb`: the maximum resident memory, in units of 1,000,000 bytes.
    pub memory_mb: u64,
}

impl Default for ConfiguredLimits {
    fn default() -> Self {
        ConfiguredLimits {
            sockets: 4096,
            memory_mb: 192,
        }
    }
}

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
        Self::start_with_limits(program, engines, rest_settings, ConfiguredLimits::default())
    }

    /// Starts a gateway as [`Gateway::start`] does, with these limits.
    ///
    /// # Errors
    ///
    /// Fails for the same reasons as [`Gateway::start`].
    pub fn start_with_limits(
        program: &Path,
        engines: &FakeUpstreams,
        rest_settings: &str,
        limits: ConfiguredLimits,
    ) -> Result<Self> {
        let [postgres_addr, rest_addr] = reserve_tcp_addresses()?;
        let folder = std::env::temp_dir().join(format!("violetgate-prove-{}", std::process::id()));
        let config = gateway_config(engines, postgres_addr, limits);
        write_files(&folder, &config, rest_addr, rest_settings)?;
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

    /// Returns the folder with the files of the gateway.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.process.folder()
    }

    /// Returns the id of the process; 0 if it has ended.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.process.pid().unwrap_or(0)
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Returns the highest resident memory of the process in bytes, or zero if it has ended.
    #[must_use]
    pub fn peak_resident_bytes(&self) -> u64 {
        self.usage().peak_resident_bytes
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

fn gateway_config(
    engines: &FakeUpstreams,
    postgres_addr: SocketAddr,
    limits: ConfiguredLimits,
) -> Value {
    let mut config = engines.config(
        "n0",
        &postgres_addr.to_string(),
        &violetgate_fake_upstreams::settings(),
    );
    config["limits"]["sockets"] = limits.sockets.into();
    config["limits"]["memory_mb"] = limits.memory_mb.into();
    config
}

fn write_files(
    folder: &PathBuf,
    config: &Value,
    rest_addr: SocketAddr,
    rest_settings: &str,
) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("config.json"), config.to_string())?;
    let settings = format!("rest {{\n  listen = \"{rest_addr}\"\n{rest_settings}\n}}\n");
    std::fs::write(folder.join(SETTINGS_FILE), settings)
}

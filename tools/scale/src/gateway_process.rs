//! The real gateway in a process of its own. Its program, `violetgate`, is in the folder of the
//! running binary.

use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use serde_json::Value;
use violetgate_test_harness::{
    program_beside, reserve_tcp_address, wait_until, LogTarget, ProcessUsage, ServerProcess,
};

use crate::error::ScaleError;
use crate::usage::usage_of;

/// How long the gateway may take until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which the start is checked.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A running gateway. Dropping it kills the process and removes its folder.
pub struct ScaleGateway {
    process: ServerProcess,
    /// The address that PostgreSQL clients connect to.
    pub listen: SocketAddr,
}

impl Drop for ScaleGateway {
    fn drop(&mut self) {
        self.process.kill();
        let _ = std::fs::remove_dir_all(self.process.folder());
    }
}

/// Reserves an address of the loopback interface, as [`reserve_tcp_address`] does.
///
/// # Errors
///
/// Returns an error if no port can be reserved.
pub fn reserve_address() -> Result<SocketAddr, ScaleError> {
    reserve_tcp_address().map_err(ScaleError::io("reserve a port"))
}

impl ScaleGateway {
    /// Starts a gateway with a configuration, and waits until it listens. The configuration has to
    /// contain the address `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program is not built, or if it ends or does not listen in time.
    pub fn start(listen: SocketAddr, config: &Value) -> Result<Self, ScaleError> {
        let program =
            program_beside("violetgate").map_err(ScaleError::io("locate the running binary"))?;
        if !program.exists() {
            return Err(ScaleError::NoProgram(program));
        }
        let folder = unused_folder();
        std::fs::create_dir_all(&folder).map_err(ScaleError::io("create the gateway's folder"))?;
        std::fs::write(folder.join("config.json"), config.to_string())
            .map_err(ScaleError::io("write the gateway's configuration"))?;
        let mut process = ServerProcess::new(&program, folder, LogTarget::File);
        process
            .start()
            .map_err(ScaleError::io("start violetgate"))?;
        let mut gateway = ScaleGateway { process, listen };
        gateway.wait_until_it_listens()?;
        Ok(gateway)
    }

    fn wait_until_it_listens(&mut self) -> Result<(), ScaleError> {
        let mut has_ended = false;
        let waited = wait_until(START_TIMEOUT, START_CHECK_INTERVAL, || {
            let listens = TcpStream::connect(self.listen).is_ok();
            has_ended = !listens && !self.process.is_running();
            listens || has_ended
        });
        if has_ended {
            return Err(ScaleError::Program(self.last_log_line()));
        }
        waited.map(drop).ok_or(ScaleError::Late {
            what: "listening by violetgate",
            seconds: START_TIMEOUT.as_secs(),
        })
    }

    fn last_log_line(&self) -> String {
        let log = self.process.log();
        log.lines().last().unwrap_or("the log is empty").to_owned()
    }

    /// Reads the CPU time, memory and descriptors that the process uses.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or /proc can't be read.
    pub fn usage(&self) -> Result<ProcessUsage, ScaleError> {
        usage_of(self.process.pid().unwrap_or(0))
    }
}

fn unused_folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Relaxed);
    let process_id = std::process::id();
    std::env::temp_dir().join(format!("violetgate-scale-{process_id}-{number}"))
}

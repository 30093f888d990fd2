//! A server process that runs the gateway, with a folder of its own.

use std::fs::File;
use std::io::{Error, ErrorKind, Result};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};

use crate::wait_until;

/// The operators' settings in a process's folder.
pub const SETTINGS_FILE: &str = "violetgate.hcl";
/// The platform's configuration in a process's folder.
const CONFIG_FILE: &str = "config.json";
/// The log in a process's folder.
const LOG_FILE: &str = "log";
/// How often it is checked whether a process has ended.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The command that runs a gateway with the files in its folder: `config.json` and, if it has
/// settings, `violetgate.hcl`. Temporary files go to the folder as well.
#[must_use]
pub fn server_command(program: &Path, folder: &Path) -> Command {
    let mut command = Command::new(program);
    let settings = folder.join(SETTINGS_FILE);
    if settings.exists() {
        command.arg("--settings").arg(settings);
    }
    command
        .env("PROXY_CONFIG", folder.join(CONFIG_FILE))
        .env("TMPDIR", folder)
        .stdin(Stdio::null());
    command
}

/// Sends a signal to a process.
///
/// # Errors
///
/// There is no such process.
pub fn send_signal(pid: u32, signal: Signal) -> Result<()> {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
    let pid = pid.ok_or_else(|| Error::new(ErrorKind::NotFound, "no such process"))?;
    Ok(kill_process(pid, signal)?)
}

/// Where a process's log goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTarget {
    /// To a file in its folder, which all its lives share.
    File,
    /// Nowhere.
    Discard,
}

/// A process that is killed when its owner is dropped.
#[derive(Debug)]
pub struct KillOnDrop(Child);

impl KillOnDrop {
    /// Takes charge of a process.
    #[must_use]
    pub fn new(child: Child) -> Self {
        KillOnDrop(child)
    }

    /// The process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.0.id()
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    /// Sends a signal to it.
    ///
    /// # Errors
    ///
    /// There is no such process any more.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        send_signal(self.pid(), signal)
    }
}

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A gateway that can be started, killed and started again in the same folder. It is killed when it
/// is dropped; its folder is not removed.
#[derive(Debug)]
pub struct ServerProcess {
    program: PathBuf,
    folder: PathBuf,
    log_target: LogTarget,
    child: Option<KillOnDrop>,
    crash_count: u64,
}

impl ServerProcess {
    /// Creates a process that is not started yet. Its folder holds `config.json` and, if the
    /// process has settings, `violetgate.hcl`.
    #[must_use]
    pub fn new(program: &Path, folder: PathBuf, log_target: LogTarget) -> Self {
        ServerProcess {
            program: program.to_path_buf(),
            folder,
            log_target,
            child: None,
            crash_count: 0,
        }
    }

    /// Starts it, or starts it again.
    ///
    /// # Errors
    ///
    /// Its log can't be opened, or the program can't be started.
    pub fn start(&mut self) -> Result<()> {
        let child = server_command(&self.program, &self.folder)
            .stderr(self.open_log()?)
            .spawn()?;
        self.child = Some(KillOnDrop(child));
        Ok(())
    }

    fn open_log(&self) -> Result<Stdio> {
        if self.log_target == LogTarget::Discard {
            return Ok(Stdio::null());
        }
        let mut options = File::options();
        options.create(true).append(true);
        Ok(options.open(self.folder.join(LOG_FILE))?.into())
    }

    /// Kills it. If it has ended by itself before, that counts as a crash.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.crash_count += u64::from(!child.is_running());
        }
    }

    /// Sends a signal to it, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = child.signal(signal);
        }
    }

    /// Waits until it has ended by itself; `false` if it has not within the time.
    pub fn wait_for_exit(&mut self, within: Duration) -> bool {
        let exited = wait_until(within, EXIT_CHECK_INTERVAL, || !self.is_running());
        if exited.is_some() {
            self.child = None;
        }
        exited.is_some()
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(KillOnDrop::is_running)
    }

    /// Its process id, if it was started and not killed since.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(KillOnDrop::pid)
    }

    /// How often it had ended by itself before it was killed.
    #[must_use]
    pub fn crash_count(&self) -> u64 {
        self.crash_count
    }

    /// Its folder.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Its log so far; empty if it is discarded.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join(LOG_FILE)).unwrap_or_default()
    }
}

/// The path of a program in the folder of the running one, whether it exists or not.
///
/// # Errors
///
/// The path of the running program is unknown.
pub fn program_beside(name: &str) -> Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name(name))
}

//! Starts, signals and kills processes; each gateway process has a folder of its own.

use std::fs::File;
use std::io::{Error, ErrorKind, Result};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};

use crate::wait_until;

/// The name of the operators' settings file in a process's folder.
pub const SETTINGS_FILE: &str = "violetgate.hcl";
/// The name of the platform's configuration file in a process's folder.
const CONFIG_FILE: &str = "config.json";
/// The name of the log file in a process's folder.
const LOG_FILE: &str = "log";
/// The interval at which [`ServerProcess::wait_for_exit`] checks whether a process has exited.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the command that runs a gateway with the files in its folder: `config.json` and, if it
/// exists, `violetgate.hcl`. The gateway writes its temporary files to the folder as well.
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
/// Returns an error if the process does not exist or may not be signalled.
pub fn send_signal(pid: u32, signal: Signal) -> Result<()> {
    let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
    let pid = pid.ok_or_else(|| Error::new(ErrorKind::NotFound, "no such process"))?;
    Ok(kill_process(pid, signal)?)
}

/// The destination of a process's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTarget {
    /// A file in the process's folder, to which each start of the process appends.
    File,
    /// The log is thrown away.
    Discard,
}

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct KillOnDrop(Child);

impl KillOnDrop {
    /// Takes ownership of a child process.
    #[must_use]
    pub fn new(child: Child) -> Self {
        KillOnDrop(child)
    }

    /// The id of the process.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.0.id()
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process no longer exists.
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

/// A gateway process that can be started, killed and restarted in the same folder. Dropping this
/// value kills the process; its folder is not removed.
#[derive(Debug)]
pub struct ServerProcess {
    program: PathBuf,
    folder: PathBuf,
    log_target: LogTarget,
    child: Option<KillOnDrop>,
    crash_count: u64,
}

impl ServerProcess {
    /// Creates a process that is not started yet. Its folder has to hold `config.json`, and may
    /// hold settings in `violetgate.hcl`.
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

    /// Starts the process, or restarts it after it was killed or has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if its log can't be opened or the program can't be started.
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

    /// Kills the process. If it had already exited by itself, this counts as a crash.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.crash_count += u64::from(!child.is_running());
        }
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = child.signal(signal);
        }
    }

    /// Waits until the process exits by itself; returns `false` if it did not within the time.
    pub fn wait_for_exit(&mut self, within: Duration) -> bool {
        let exited = wait_until(within, EXIT_CHECK_INTERVAL, || !self.is_running());
        if exited.is_some() {
            self.child = None;
        }
        exited.is_some()
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(KillOnDrop::is_running)
    }

    /// The process id; `None` if the process is not started, or was killed or waited for.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(KillOnDrop::pid)
    }

    /// The number of crashes: how often [`ServerProcess::kill`] found that the process had exited.
    #[must_use]
    pub fn crash_count(&self) -> u64 {
        self.crash_count
    }

    /// The folder with the process's configuration, log and temporary files.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The contents of its log; empty if the log is discarded or can't be read.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join(LOG_FILE)).unwrap_or_default()
    }
}

/// Returns the path of a program in the folder of the running program. It does not check that the
/// program exists.
///
/// # Errors
///
/// Returns an error if the path of the running program is unknown.
pub fn program_beside(name: &str) -> Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name(name))
}

//! Starts the gateway with the command of the deploy file, and ends it.

use std::fs::{File, OpenOptions};
use std::io::{Error, Result, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::pause;
use crate::record::Record;

/// Returns the root of the repository, which the environment variable `ROOT` names.
///
/// # Errors
///
/// Fails if the variable is missing.
pub fn root() -> Result<PathBuf> {
    std::env::var("ROOT")
        .map(PathBuf::from)
        .map_err(Error::other)
}

/// Returns the temporary folder of this run, which the environment variable `WORK` names.
///
/// # Errors
///
/// Fails if the variable is missing.
pub fn work() -> Result<PathBuf> {
    std::env::var("WORK")
        .map(PathBuf::from)
        .map_err(Error::other)
}

/// Returns the command `run` of the deploy file.
///
/// # Errors
///
/// Fails if the file can't be read or has no such command.
pub fn run_command() -> Result<String> {
    let text = std::fs::read_to_string(root()?.join("deploy/balancer.toml"))?;
    let line = text.lines().find(|line| line.starts_with("run = "));
    let quoted = line.and_then(|line| line.split('"').nth(1));
    quoted
        .map(str::to_owned)
        .ok_or_else(|| Error::other("no `run`"))
}

/// Returns a loopback address on which nothing listens. The ports lie below the ephemeral ones.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_address() -> Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(61);
    for _ in 0..15_000 {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % 15_000;
        let address = SocketAddr::from(([127, 0, 0, 1], 15_000 + offset as u16));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(Error::other("no port is free"))
}

/// A gateway: its folder, its files and its process while it runs.
pub struct Gateway {
    pub name: String,
    pub folder: PathBuf,
    pub listen: SocketAddr,
    record: Record,
    child: Option<Child>,
}

impl Gateway {
    /// Creates a gateway that is not started.
    ///
    /// # Errors
    ///
    /// Fails if its folder can't be created or no port is free.
    pub fn new(name: &str, record: &Record) -> Result<Self> {
        let folder = work()?.join(name);
        std::fs::create_dir_all(folder.join("tmp"))?;
        Ok(Gateway {
            name: name.to_owned(),
            folder,
            listen: free_address()?,
            record: record.clone(),
            child: None,
        })
    }

    /// Writes the platform's configuration. `known` and `settings` are JSON.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn configure(&self, bus: SocketAddr, known: &str, settings: &str) -> Result<()> {
        let seed = crate::record::unix_ms();
        let (name, listen) = (&self.name, self.listen);
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":2048,\"sockets\":4096}},\
             \"bus\":\"{bus}\",\"known\":{known},\"settings\":{settings}}}"
        );
        std::fs::write(self.folder.join("config.json"), text)
    }

    /// Writes the operators' settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn operator_settings(&self, text: &str) -> Result<()> {
        std::fs::write(self.folder.join("violetgate.hcl"), text)
    }

    fn command(&self, line: &str) -> Result<Command> {
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(line)
            .current_dir(root()?)
            .env("PROXY_NAME", &self.name)
            .env("PROXY_LISTEN", self.listen.to_string())
            .env("PROXY_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null());
        let settings = self.folder.join("violetgate.hcl");
        if settings.exists() {
            command.env("VIOLETGATE_SETTINGS", settings);
        }
        Ok(command)
    }

    /// Runs a command of the program to its end, such as `members init`.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started or reports a failure.
    pub fn run_once(&self, arguments: &str) -> Result<()> {
        let line = format!("{} {arguments}", run_command()?);
        let output = self.command(&line)?.output()?;
        if output.status.success() {
            return Ok(());
        }
        Err(Error::other(
            String::from_utf8_lossy(&output.stderr).into_owned(),
        ))
    }

    /// Starts the program with the command of the deploy file.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
    pub fn start(&mut self) -> Result<()> {
        let log = self.folder.join("log");
        let open = || OpenOptions::new().create(true).append(true).open(&log);
        let (out, err): (File, File) = (open()?, open()?);
        let child = self
            .command(&run_command()?)?
            .stdout(out)
            .stderr(err)
            .spawn()?;
        self.record
            .line(&format!("{}: started, pid {}", self.name, child.id()));
        // `run.sh` kills what is left, should this program be ended before its time.
        let mut pids = OpenOptions::new()
            .create(true)
            .append(true)
            .open(work()?.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until the gateway answers an empty query with EmptyQueryResponse.
    #[must_use]
    pub fn wait_ready(&self, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            if crate::pg::is_ready(self.listen) {
                self.record.line(&format!("{}: ready", self.name));
                return true;
            }
            pause(50);
        }
        false
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            self.record.line(&format!("{}: SIG{name}", self.name));
            let line = format!("kill -{name} {}", child.id());
            let _ = Command::new("/bin/sh").arg("-c").arg(line).status();
        }
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.line(&format!("{}: SIGKILL", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended by itself.
    pub fn wait_exit(&mut self, within: Duration) -> bool {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            match &mut self.child {
                None => return true,
                Some(child) => {
                    if let Ok(Some(status)) = child.try_wait() {
                        self.record.line(&format!("{}: ended, {status}", self.name));
                        self.child = None;
                        return true;
                    }
                }
            }
            pause(10);
        }
        false
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Copies the lines of the gateway's log that contain one of the words into the record.
    pub fn copy_log(&self, words: &[&str]) {
        let log: &Path = &self.folder.join("log");
        let text = std::fs::read_to_string(log).unwrap_or_default();
        for line in text
            .lines()
            .filter(|line| words.iter().any(|word| line.contains(word)))
        {
            let line = line.replace(&*self.folder.to_string_lossy(), "FOLDER");
            self.record.line(&format!("log of {}: {line}", self.name));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

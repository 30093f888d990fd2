//! What all cases share: the record, free ports, the settings, and processes of the gateway.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The result of a case.
pub type Outcome = Result<Verdict, String>;

/// Whether the rule was kept. An error stands for a case that could not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Kept,
    Broken,
}

struct Record {
    file: Mutex<File>,
    start: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens `record.txt` in the folder of the case.
pub fn open_record(path: &Path) -> Result<(), String> {
    let file = File::create(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let record = Record {
        file: Mutex::new(file),
        start: Instant::now(),
    };
    RECORD
        .set(record)
        .map_err(|_| "the record is open".to_owned())
}

/// The time since the case began, in milliseconds.
pub fn now_ms() -> f64 {
    RECORD
        .get()
        .map_or(0.0, |record| record.start.elapsed().as_secs_f64() * 1e3)
}

/// Adds a line to the record, with its time.
pub fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        if let Ok(mut file) = record.file.lock() {
            let _ = writeln!(file, "{:10.1} {text}", now_ms());
        }
    }
}

/// Adds a line to the record, and prints it.
pub fn say(text: &str) {
    note(text);
    println!("{text}");
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption of the case takes place: not with `TROUBLE=0`.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A loopback address that nobody listens on.
pub fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

/// A temporary folder that is removed when it is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Result<Self, String> {
        let name = format!("violetgate-review-{}-{}", std::process::id(), unix_ms());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Folder(path))
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.path(name);
        fs::write(&path, text).map_err(|error| error.to_string())?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The settings of a small deployment in the form of the platform.
pub struct Site {
    /// `rules.drain-grace`, in seconds.
    pub drain_grace: f64,
}

impl Site {
    pub fn settings(&self) -> String {
        format!(
            r#"{{"balancers":1,"classes":[
{{"name":"lookup","deadline":7.5,"objective":1.5,"aim-stretch":2.0,"credit":1.0,"effect":"idempotent","group":"all","late-worth":0.3,"stream":false,"window":5.0}},
{{"name":"load","deadline":20.0,"objective":3.0,"aim-stretch":3.0,"credit":5.0,"effect":"deduplicated","group":"all","late-worth":0.5,"stream":false,"window":12.0,"by-arrival":true}}],
"client-habits":{{"marks-retry":false}},"discovery":"pushed",
"domain":{{"class-waits":[false,false],"grants":false,"is-load":[false,true],"memory-by-kind-mb":[16384.0],"most-grant":0.4,"note-period":0.0,"parallelism":[1,2],"priorities":true,"size-cores":[8],"tells-cost":true}},
"family":"queries","feedback":{{"fields":[],"via":"none"}},"kinds":["k"],
"limits":{{"cancel":true,"connect-timeout":0.25,"cpu-us-per-s":621802,"idle-close":30.0,"max-attempts":5,"max-open":31090,"max-retry-after":1.0,"may-tell":false,"probes":false,"retry-after":false,"second-copies":false,"streams-per-conn":100}},
"localities":["z"],"locality":0,"realms":[{{"name":"acme","allowance-per-s":52.0,"fraction":1.0}}],
"rules":{{"ask-every":10.0,"cold":15.0,"cold-share":0.3,"drain-grace":{},"extra-share":0.1,"fall":3.0,"fall-multiple":2.5,"free-resends":3.0,"grace-to-answer":0.02,"resend-span":5.0,"turn-gap":0.3}},
"slot-no":0,"tick":0.005,"tier":0,"tiers":["query-engines"],"weights":"nominal","worth-by":"request"}}"#,
            self.drain_grace
        )
    }

    /// The whole configuration of a front end whose list is `known`.
    pub fn config(&self, listen: SocketAddr, bus: SocketAddr, known: &str) -> String {
        let seed = unix_ms() as u64;
        format!(
            r#"{{"name":"n1","listen":"{listen}","seed":"{seed:x}","limits":{{"cores":1.0,"memory_mb":512,"sockets":1024}},"bus":"{bus}","known":{known},"settings":{}}}"#,
            self.settings()
        )
    }
}

/// A process of the gateway. It is ended when it is dropped.
pub struct Gateway {
    child: Child,
    log: PathBuf,
}

/// The command `run` of the deploy file.
fn run_command(root: &Path) -> Result<String, String> {
    let path = root.join("deploy/balancer.toml");
    let text = fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    let line = text.lines().find(|line| line.starts_with("run"));
    let command = line.and_then(|line| line.split('"').nth(1));
    command
        .map(str::to_owned)
        .ok_or_else(|| "no `run` in the deploy file".to_owned())
}

/// The root of the repository, which `run.sh` passes.
pub fn root() -> Result<PathBuf, String> {
    let root = std::env::var("REVIEW_ROOT").map_err(|_| "REVIEW_ROOT is not set".to_owned())?;
    Ok(PathBuf::from(root))
}

impl Gateway {
    /// Starts `run` of the deploy file with these variables, and logs to `folder`.
    pub fn start(folder: &Folder, name: &str, env: &[(&str, String)]) -> Result<Self, String> {
        let root = root()?;
        let private = folder.path(&format!("{name}-tmp"));
        fs::create_dir_all(&private).map_err(|error| error.to_string())?;
        let log = folder.path(&format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(|error| error.to_string())?;
        let other = file.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_command(&root)?])
            .current_dir(&root)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(other);
        for (name, value) in env {
            command.env(name, value);
        }
        let child = command.spawn().map_err(|error| error.to_string())?;
        note(&format!("gateway {name} started, process {}", child.id()));
        Ok(Gateway { child, log })
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends the process at once (SIGKILL).
    pub fn kill(&mut self) {
        note(&format!("process {} is killed", self.child.id()));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Ends the process as at a planned restart (SIGTERM).
    pub fn end(&mut self) -> Result<(), String> {
        let process = self.child.id().to_string();
        note(&format!("process {process} gets SIGTERM"));
        let sent = Command::new("kill").args(["-TERM", &process]).status();
        if !sent.is_ok_and(|status| status.success()) {
            return Err("SIGTERM can't be sent".to_owned());
        }
        for _ in 0..600 {
            if !self.is_running() {
                return Ok(());
            }
            sleep_ms(10);
        }
        Err("a process has not ended 6 s after SIGTERM".to_owned())
    }

    /// The log of the process so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for line in self.log().lines().take(200) {
            note(&format!("gateway log: {line}"));
        }
    }
}

//! The real program, in a process of its own: `violetgate` beside the running binary.

use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::error::ScaleError;
use crate::usage::Usage;

/// How long it may take to listen.
const START: Duration = Duration::from_secs(10);
const LOOK: Duration = Duration::from_millis(10);
/// The file of its log in its folder.
const LOG: &str = "log";

/// A running program. It ends with its owner, and its folder goes too.
pub struct Program {
    child: Child,
    folder: PathBuf,
    /// Where PostgreSQL clients connect.
    pub listen: String,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An address on loopback that nobody has.
///
/// # Errors
///
/// The machine gives none.
pub fn free_address() -> Result<String, ScaleError> {
    let free = || std::net::TcpListener::bind("127.0.0.1:0")?.local_addr();
    free()
        .map(|address| address.to_string())
        .map_err(ScaleError::io("find a free port"))
}

impl Program {
    /// Starts the program with a configuration, whose `listen` has to be `listen`.
    ///
    /// # Errors
    ///
    /// It is not built, or does not listen in time.
    pub fn start(listen: String, config: &Value) -> Result<Self, ScaleError> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let own = std::env::current_exe().map_err(ScaleError::io("find the running binary"))?;
        let program = own.with_file_name("violetgate");
        if !program.exists() {
            return Err(ScaleError::NoProgram(program));
        }
        let number = NEXT.fetch_add(1, Relaxed);
        let folder =
            std::env::temp_dir().join(format!("violetgate-scale-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(ScaleError::io("make a folder"))?;
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string())
            .map_err(ScaleError::io("write a configuration"))?;
        let log = std::fs::File::create(folder.join(LOG)).map_err(ScaleError::io("make a log"))?;
        let child = Command::new(program)
            .env("PROXY_CONFIG", &file)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(ScaleError::io("start violetgate"))?;
        let mut program = Program {
            child,
            folder,
            listen,
        };
        program.wait_until_it_listens()?;
        Ok(program)
    }

    fn wait_until_it_listens(&mut self) -> Result<(), ScaleError> {
        let until = Instant::now() + START;
        while TcpStream::connect(&self.listen).is_err() {
            if !matches!(self.child.try_wait(), Ok(None)) {
                return Err(ScaleError::Program(self.last_of_log()));
            }
            if Instant::now() > until {
                return Err(ScaleError::Late {
                    what: "violetgate's listening",
                    seconds: START.as_secs(),
                });
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    fn last_of_log(&self) -> String {
        let log = std::fs::read_to_string(self.folder.join(LOG)).unwrap_or_default();
        log.lines().last().unwrap_or("it is empty").to_owned()
    }

    /// What it uses now.
    ///
    /// # Errors
    ///
    /// It has ended.
    pub fn usage(&self) -> Result<Usage, ScaleError> {
        Usage::of(self.child.id())
    }
}

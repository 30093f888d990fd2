//! What outlasts this process: the names of the engines that operators have called out, in a small file that
//! the processes of one front end share.

use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rustix::fs::FlockOperation;

use crate::log;

/// More than this is no list of engines.
const MOST: u64 = 256 * 1024;
/// How often, and how many times, a lock that the other process holds is tried. It holds it for one write; one
/// that was stopped in the middle must not stop this one too.
const LOCK: (Duration, u32) = (Duration::from_millis(1), 50);

/// Names of engines.
pub type EngineNames = BTreeSet<String>;

/// The file, and what stands beside it.
pub struct CordonFile {
    path: Option<PathBuf>,
}

impl CordonFile {
    /// A store in a file; without one it keeps nothing.
    #[must_use]
    pub fn new(path: Option<PathBuf>) -> Self {
        CordonFile { path }
    }

    /// What the file holds; `None` where there is no file.
    ///
    /// # Errors
    ///
    /// It can't be read, or is spoilt.
    pub fn load(&self) -> std::io::Result<Option<EngineNames>> {
        let Some(path) = &self.path else {
            return Ok(None);
        };
        let mut text = String::new();
        match File::open(path) {
            Ok(file) => file.take(MOST).read_to_string(&mut text)?,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        Ok(Some(serde_json::from_str(&text)?))
    }

    /// Puts a name in or takes it out, whatever the other process has changed meanwhile; what holds then. A
    /// file that can't be read counts as what this process holds, and one that can't be written is logged: the
    /// change holds here all the same.
    pub fn change(&self, held: &EngineNames, name: &str, out: bool) -> EngineNames {
        let _lock = self
            .path
            .as_deref()
            .and_then(|path| lock(path).inspect_err(|e| complain(path, e)).ok());
        let mut names = self.load().ok().flatten().unwrap_or_else(|| held.clone());
        if out {
            names.insert(name.to_owned());
        } else {
            names.remove(name);
        }
        if let Some(path) = &self.path {
            let _ = write(path, &names).inspect_err(|e| complain(path, e));
        }
        names
    }
}

fn complain(path: &Path, e: &std::io::Error) {
    log::line(format_args!(
        "cordons are not kept: {}: {e}",
        path.display()
    ));
}

fn beside(path: &Path, what: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(what);
    PathBuf::from(name)
}

/// Keeps the other process from changing the file until the lock is dropped.
fn lock(path: &Path) -> std::io::Result<File> {
    let file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .open(beside(path, ".lock"))?;
    let mut left = LOCK.1;
    loop {
        match rustix::fs::flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => return Ok(file),
            Err(e) if e == rustix::io::Errno::WOULDBLOCK && left > 0 => std::thread::sleep(LOCK.0),
            Err(e) => return Err(e.into()),
        }
        left -= 1;
    }
}

/// Writes aside and renames, so that a reader sees all of it or what was there before.
fn write(path: &Path, names: &EngineNames) -> std::io::Result<()> {
    let aside = beside(path, ".new");
    std::fs::write(&aside, serde_json::to_vec(names)?)?;
    std::fs::rename(&aside, path)
}

#[cfg(test)]
#[allow(clippy::unwrap_used)]
mod tests {
    use super::*;

    fn names(names: &[&str]) -> EngineNames {
        names.iter().map(|n| (*n).to_owned()).collect()
    }

    /// Two processes that change the file each keep what the other has changed; a spoilt file is told, and
    /// replaced by what is held at the next change.
    #[test]
    fn changes_of_two_processes_add_up() {
        let folder = std::env::temp_dir().join(format!("violetgate-{}-store", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("cordons");
        let (one, two) = (
            CordonFile::new(Some(path.clone())),
            CordonFile::new(Some(path.clone())),
        );
        assert_eq!(one.load().unwrap(), None);
        assert_eq!(one.change(&names(&[]), "s-1", true), names(&["s-1"]));
        assert_eq!(two.change(&names(&[]), "s-2", true), names(&["s-1", "s-2"]));
        assert_eq!(one.change(&names(&["s-1"]), "s-1", false), names(&["s-2"]));
        assert_eq!(two.load().unwrap(), Some(names(&["s-2"])));
        std::fs::write(&path, "[\"s-2\"").unwrap();
        assert!(one.load().is_err());
        assert_eq!(
            one.change(&names(&["s-2"]), "s-3", true),
            names(&["s-2", "s-3"])
        );
        assert_eq!(two.load().unwrap(), Some(names(&["s-2", "s-3"])));
        std::fs::remove_dir_all(&folder).unwrap();
    }

    /// Without a folder that can be written to, a change holds in this process.
    #[test]
    fn without_a_folder_a_change_still_holds() {
        for path in [None, Some(PathBuf::from("/proc/none/cordons"))] {
            let store = CordonFile::new(path);
            assert_eq!(
                store.change(&names(&["s-1"]), "s-2", true),
                names(&["s-1", "s-2"])
            );
        }
    }
}

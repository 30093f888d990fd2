//! Files in one folder, as few operations as a log needs.

use std::fs::{File, OpenOptions};
use std::io::{Result, Write};
use std::path::PathBuf;

/// The files of one folder.
pub trait Directory {
    /// The names of all files.
    ///
    /// # Errors
    ///
    /// As the machine says; the same holds for all that follow.
    fn list(&self) -> Result<Vec<String>>;
    /// All of a file.
    #[allow(clippy::missing_errors_doc)]
    fn read(&self, name: &str) -> Result<Vec<u8>>;
    /// Appends to a file, which is made if there is none. On an error any part of it may have been written.
    #[allow(clippy::missing_errors_doc)]
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Cuts a file off.
    #[allow(clippy::missing_errors_doc)]
    fn truncate(&mut self, name: &str, length: u64) -> Result<()>;
    /// Makes a file's bytes durable.
    #[allow(clippy::missing_errors_doc)]
    fn sync(&mut self, name: &str) -> Result<()>;
    /// Makes the folder's names durable.
    #[allow(clippy::missing_errors_doc)]
    fn sync_dir(&mut self) -> Result<()>;
    /// Gives a file another name, in place of one that has it.
    #[allow(clippy::missing_errors_doc)]
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    /// Takes a file away.
    #[allow(clippy::missing_errors_doc)]
    fn remove(&mut self, name: &str) -> Result<()>;
}

/// A folder of the machine's. The file that was last appended to stays open.
#[derive(Debug)]
pub struct FsDirectory {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl FsDirectory {
    /// A folder, which is made if there is none.
    ///
    /// # Errors
    ///
    /// It can't be made.
    pub fn new(path: impl Into<PathBuf>) -> Result<Self> {
        let path = path.into();
        std::fs::create_dir_all(&path)?;
        Ok(FsDirectory { path, open: None })
    }

    fn file(&mut self, name: &str) -> Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new()
                .append(true)
                .create(true)
                .open(self.path.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        self.open
            .as_mut()
            .map(|(_, file)| file)
            .ok_or_else(|| std::io::ErrorKind::NotFound.into())
    }
}

impl Directory for FsDirectory {
    fn list(&self) -> Result<Vec<String>> {
        let names = std::fs::read_dir(&self.path)?
            .map(|f| Ok(f?.file_name().to_string_lossy().into_owned()));
        names.collect()
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_dir(&mut self) -> Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.open = None;
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.open = None;
        std::fs::remove_file(self.path.join(name))
    }
}

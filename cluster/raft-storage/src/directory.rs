//! The file operations that the storage needs, limited to one folder.

use std::fs::{File, OpenOptions};
use std::io::{Result, Write};
use std::path::PathBuf;

/// The files of one folder. All methods return the errors of the operating system.
#[expect(
    clippy::missing_errors_doc,
    reason = "the trait documents the errors of all methods"
)]
pub trait Directory {
    /// Returns the names of all files, in any order.
    fn list(&self) -> Result<Vec<String>>;
    /// Returns the content of a file.
    fn read(&self, name: &str) -> Result<Vec<u8>>;
    /// Appends bytes to a file, and creates the file if it doesn't exist. After an error, any
    /// prefix of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Truncates a file to a length in bytes.
    fn truncate(&mut self, name: &str, length: u64) -> Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> Result<()>;
    /// Makes created, renamed and removed file names durable.
    fn sync_dir(&mut self) -> Result<()>;
    /// Renames a file, and replaces the file `to` if it exists.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    /// Removes a file, which must exist.
    fn remove(&mut self, name: &str) -> Result<()>;
}

/// A folder of the file system. It keeps the file that was last written or synced open.
#[derive(Debug)]
pub struct FsDirectory {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl FsDirectory {
    /// Opens a folder, and creates it and its parents if they don't exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be created.
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

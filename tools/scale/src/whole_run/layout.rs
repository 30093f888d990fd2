//! Addresses and folders of a run. Each run has loopback addresses of its own, by its process id, and ports below the
//! ephemeral ones: nothing that runs beside it can take them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use super::WholeRunError;

/// The first host of control processes and of real front ends; hosts below are for hollow ones.
const CONTROL_HOST: u8 = 10;
const REAL_HOST: u8 = 100;
/// The host and the first port of hollow front ends' membership, and the port of real ones'.
const HOLLOW_HOST: u8 = 2;
const HOLLOW_PORT: u16 = 10_000;

/// What a process listens for.
#[derive(Debug, Clone, Copy)]
pub(super) enum Port {
    Members = 7_001,
    Api = 7_002,
    Subscribers = 7_003,
    Clients = 7_004,
    Management = 7_005,
    Fleet = 7_006,
}

/// Addresses and folders of a run.
pub(super) struct Layout {
    network: [u8; 2],
    folder: PathBuf,
}

impl Drop for Layout {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Layout {
    /// A layout for this process.
    pub(super) fn new() -> Result<Self, WholeRunError> {
        let id = std::process::id();
        let network = [64 + (id >> 8) as u8 % 128, id as u8];
        let folder = std::env::temp_dir().join(format!("violetgate-scale-{id}"));
        std::fs::create_dir_all(&folder)
            .map_err(WholeRunError::machine("create a folder for the run"))?;
        Ok(Layout { network, folder })
    }

    fn at(&self, host: u8, port: u16) -> SocketAddr {
        let [second, third] = self.network;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, second, third, host)), port)
    }

    /// An address of a control process.
    pub(super) fn control(&self, id: u64, port: Port) -> SocketAddr {
        self.at(CONTROL_HOST.wrapping_add(id as u8), port as u16)
    }

    /// An address of a real front end.
    pub(super) fn real(&self, index: usize, port: Port) -> SocketAddr {
        self.at(REAL_HOST.wrapping_add(index as u8), port as u16)
    }

    /// Where a hollow front end listens for other members of the fleet.
    pub(super) fn hollow(&self, index: u16) -> SocketAddr {
        self.at(HOLLOW_HOST, HOLLOW_PORT + index)
    }

    /// A folder in the run's folder, made if need be.
    pub(super) fn folder(&self, name: &str) -> Result<PathBuf, WholeRunError> {
        let folder = self.folder.join(name);
        std::fs::create_dir_all(&folder)
            .map_err(WholeRunError::machine("create a process's folder"))?;
        Ok(folder)
    }

    /// Writes a file of a process.
    pub(super) fn write(
        &self,
        folder: &Path,
        name: &str,
        text: &str,
    ) -> Result<PathBuf, WholeRunError> {
        let file = folder.join(name);
        std::fs::write(&file, text)
            .map_err(WholeRunError::machine("write a process's configuration"))?;
        Ok(file)
    }
}

/// A program beside this one.
pub(super) fn program(name: &str) -> Result<PathBuf, WholeRunError> {
    let own =
        std::env::current_exe().map_err(WholeRunError::machine("find this program's folder"))?;
    let path = own.with_file_name(name);
    if path.exists() {
        Ok(path)
    } else {
        Err(WholeRunError::NoProgram { path })
    }
}

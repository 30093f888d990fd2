//! Addresses and folders of a run.
//!
//! Each run has loopback addresses of its own, by its process id, and ports below the ephemeral
//! ones: nothing that runs beside it can take them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use violetgate_test_harness::program_beside;

use super::error::FleetRunError;

/// The first host of control processes and of real gateways; hosts below are for lightweight ones.
const CONTROL_HOST: u8 = 10;
const REAL_HOST: u8 = 100;
/// The host and the first port of the lightweight gateways' membership.
const LIGHTWEIGHT_HOST: u8 = 2;
const LIGHTWEIGHT_PORT: u16 = 10_000;

/// What a process listens for, and the port that it has for it.
#[derive(Debug, Clone, Copy)]
pub(super) enum Port {
    /// Other members of the cluster.
    Members = 7_001,
    /// Operators.
    Api = 7_002,
    /// Subscribers to replicated state.
    Subscribers = 7_003,
    /// PostgreSQL clients.
    Clients = 7_004,
    /// The management interface.
    Management = 7_005,
    /// Other members of the fleet.
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
    pub(super) fn new() -> Result<Self, FleetRunError> {
        let id = std::process::id();
        let network = [64 + (id >> 8) as u8 % 128, id as u8];
        let folder = std::env::temp_dir().join(format!("violetgate-scale-{id}"));
        std::fs::create_dir_all(&folder)
            .map_err(FleetRunError::machine("create a folder for the run"))?;
        Ok(Layout { network, folder })
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        let [second, third] = self.network;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, second, third, host)), port)
    }

    /// An address of a control process.
    pub(super) fn control(&self, id: u64, port: Port) -> SocketAddr {
        self.address(CONTROL_HOST.wrapping_add(id as u8), port as u16)
    }

    /// An address of a real gateway.
    pub(super) fn real(&self, index: usize, port: Port) -> SocketAddr {
        self.address(REAL_HOST.wrapping_add(index as u8), port as u16)
    }

    /// Where a lightweight gateway listens for other members of the fleet.
    pub(super) fn lightweight(&self, index: u16) -> SocketAddr {
        self.address(LIGHTWEIGHT_HOST, LIGHTWEIGHT_PORT + index)
    }

    /// A folder in the run's folder, which is created if it does not exist.
    pub(super) fn folder(&self, name: &str) -> Result<PathBuf, FleetRunError> {
        let folder = self.folder.join(name);
        std::fs::create_dir_all(&folder)
            .map_err(FleetRunError::machine("create a process's folder"))?;
        Ok(folder)
    }

    /// Writes a file of a process.
    pub(super) fn write(
        &self,
        folder: &Path,
        name: &str,
        text: &str,
    ) -> Result<PathBuf, FleetRunError> {
        let file = folder.join(name);
        std::fs::write(&file, text)
            .map_err(FleetRunError::machine("write a process's configuration"))?;
        Ok(file)
    }
}

/// A program in the folder of this one.
pub(super) fn program(name: &str) -> Result<PathBuf, FleetRunError> {
    let path =
        program_beside(name).map_err(FleetRunError::machine("find this program's folder"))?;
    if path.exists() {
        Ok(path)
    } else {
        Err(FleetRunError::NoProgram { path })
    }
}

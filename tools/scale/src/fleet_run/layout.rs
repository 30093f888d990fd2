//! Addresses and folders of a run.
//!
//! Each run derives its own loopback addresses from its process id, and uses ports below the
//! ephemeral ones, so that programs that run at the same time do not take them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use violetgate_test_harness::program_beside;

use super::error::FleetRunError;

/// The last byte of the addresses of control processes (10 and up) and of real gateways (100 and
/// up). Lightweight gateways use a host below both.
const CONTROL_HOST: u8 = 10;
const REAL_HOST: u8 = 100;
/// The last byte of the address of lightweight gateways' membership, and its first port.
const LIGHTWEIGHT_HOST: u8 = 2;
const LIGHTWEIGHT_PORT: u16 = 10_000;

/// The ports that a process listens on, named by who connects to them.
#[derive(Debug, Clone, Copy)]
pub(super) enum Port {
    /// The port for other members of the cluster.
    Members = 7_001,
    /// The port of the operators' API.
    Api = 7_002,
    /// The port for subscribers to replicated state.
    Subscribers = 7_003,
    /// The port for PostgreSQL clients.
    Clients = 7_004,
    /// The port of the management interface.
    Management = 7_005,
    /// The port for other members of the fleet.
    Fleet = 7_006,
}

/// The addresses and the folder of a run. Dropping it removes the folder.
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
    /// Creates the layout for this process, and its folder.
    pub(super) fn new() -> Result<Self, FleetRunError> {
        let id = std::process::id();
        let network = [64 + (id >> 8) as u8 % 128, id as u8];
        let folder = std::env::temp_dir().join(format!("violetgate-scale-{id}"));
        std::fs::create_dir_all(&folder)
            .map_err(FleetRunError::io("create a folder for the run"))?;
        Ok(Layout { network, folder })
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        let [second, third] = self.network;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, second, third, host)), port)
    }

    /// Returns an address of the control process with this id.
    pub(super) fn control(&self, id: u64, port: Port) -> SocketAddr {
        self.address(CONTROL_HOST.wrapping_add(id as u8), port as u16)
    }

    /// Returns an address of the real gateway with this index.
    pub(super) fn real(&self, index: usize, port: Port) -> SocketAddr {
        self.address(REAL_HOST.wrapping_add(index as u8), port as u16)
    }

    /// Returns the address at which a lightweight gateway listens for other members of the fleet.
    pub(super) fn lightweight(&self, index: u16) -> SocketAddr {
        self.address(LIGHTWEIGHT_HOST, LIGHTWEIGHT_PORT + index)
    }

    /// Returns the path of a folder in the run's folder, which is created if it does not exist.
    pub(super) fn folder(&self, name: &str) -> Result<PathBuf, FleetRunError> {
        let folder = self.folder.join(name);
        std::fs::create_dir_all(&folder).map_err(FleetRunError::io("create a process's folder"))?;
        Ok(folder)
    }

    /// Writes a file of a process, and returns its path.
    pub(super) fn write(
        &self,
        folder: &Path,
        name: &str,
        text: &str,
    ) -> Result<PathBuf, FleetRunError> {
        let file = folder.join(name);
        std::fs::write(&file, text)
            .map_err(FleetRunError::io("write a process's configuration"))?;
        Ok(file)
    }
}

/// Returns the path of a program in the folder of the running one.
pub(super) fn program(name: &str) -> Result<PathBuf, FleetRunError> {
    let path = program_beside(name).map_err(FleetRunError::io("locate the running program"))?;
    if path.exists() {
        Ok(path)
    } else {
        Err(FleetRunError::NoProgram { path })
    }
}

//! The addresses, configuration and settings of an instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};

use violetgate_fake_upstreams::FakeUpstreams;
use violetgate_test_harness::{reserve_tcp_addresses, SETTINGS_FILE};

use crate::{AcceptanceError, Result};

/// The `limits.sockets` value of an instance's configuration.
const SOCKET_LIMIT: u64 = 1024;
/// Combined with the id of an instance to its seed. The seeds have to differ, or the instances
/// would start their elections at the same time.
const BASE_SEED: u64 = 0x8c1f_30d2_7a5b_e964;

/// The addresses on which an instance listens.
pub(super) struct InstanceAddresses {
    /// The address for other members.
    pub peer: SocketAddr,
    /// The address for PostgreSQL clients.
    pub postgres: SocketAddr,
    /// The address for REST clients.
    pub rest: SocketAddr,
    /// The address of the API for operators.
    pub api: SocketAddr,
}

impl InstanceAddresses {
    /// Reserves unused addresses for an instance.
    pub(super) fn reserve() -> Result<Self> {
        let [peer, postgres, rest, api] = reserve_tcp_addresses()?;
        Ok(InstanceAddresses {
            peer,
            postgres,
            rest,
            api,
        })
    }
}

/// Creates an instance's folder and writes the platform's configuration into it.
pub(super) fn write_config(
    folder: &Path,
    engines: &FakeUpstreams,
    id: u64,
    own: &InstanceAddresses,
) -> Result<()> {
    std::fs::create_dir_all(folder)?;
    let mut config = engines.config(
        &format!("n{id}"),
        &own.postgres.to_string(),
        &violetgate_fake_upstreams::settings(),
    );
    config["limits"]["sockets"] = SOCKET_LIMIT.into();
    config["seed"] = format!("{:016x}", BASE_SEED ^ id).into();
    std::fs::write(folder.join("config.json"), config.to_string())?;
    Ok(())
}

/// Writes the operators' settings into an instance's folder. `peers` holds the addresses at which
/// the instance reaches the other members, by member id.
pub(super) fn write_settings(
    folder: &Path,
    id: u64,
    own: &InstanceAddresses,
    peers: &BTreeMap<u64, SocketAddr>,
    cluster_settings: &str,
) -> Result<()> {
    let InstanceAddresses {
        peer, rest, api, ..
    } = own;
    let mut members = format!("    \"{id}\" = \"{peer}\"\n");
    for (other, addr) in peers {
        members += &format!("    \"{other}\" = \"{addr}\"\n");
    }
    let member_folder = folder.join("member");
    let settings = format!(
        "rest {{\n  listen = \"{rest}\"\n  max_connections = 200\n}}\n\
         cluster {{\n  name = \"proof\"\n  id = {id}\n  folder = \"{}\"\n  listen = \"{peer}\"\n  \
         api = \"{api}\"\n  members = {{\n{members}  }}\n{cluster_settings}}}\n",
        member_folder.display()
    );
    std::fs::write(folder.join(SETTINGS_FILE), settings)?;
    Ok(())
}

/// Creates the member folder that the settings name, with `violetgate members init`.
pub(super) fn initialize_member(program: &Path, folder: &Path) -> Result<()> {
    let status = Command::new(program)
        .args(["members", "init", "--settings"])
        .arg(folder.join(SETTINGS_FILE))
        .stdout(Stdio::null())
        .status()?;
    if status.success() {
        Ok(())
    } else {
        Err(AcceptanceError::MemberFolder)
    }
}

//! One gateway of the demo: its addresses, its files and its process.

use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use violetgate_fake_upstreams::FakeUpstreams;

use super::{create_folder, Demo, DemoError};

/// The port of a member's API is this much higher than its port for other members.
const API_PORT_OFFSET: u16 = 10;

/// One gateway of the demo. All its addresses are on loopback.
pub(super) struct Instance {
    /// The instance's number, from 1. It is also its id as a member of the cluster.
    pub number: u16,
    /// Whether the demo has several instances, which form a cluster and a fleet.
    is_one_of_several: bool,
    folder: PathBuf,
    pub listen: String,
    pub rest: String,
    pub management: String,
    /// The address for other members of the cluster.
    peer: String,
    pub api: String,
    /// The address for datagrams of the fleet.
    fleet: String,
}

impl Instance {
    /// Creates instance `number`, counted from 1. Its own folder is a subfolder of `folder`.
    pub(super) fn new(demo: &Demo, number: u16, folder: &Path) -> Self {
        let at = |first_port: u16| format!("127.0.0.1:{}", first_port.saturating_add(number - 1));
        Instance {
            number,
            is_one_of_several: demo.instances > 1,
            folder: folder.join(number.to_string()),
            listen: at(demo.port),
            rest: at(demo.rest_port),
            management: at(demo.management_port),
            peer: at(demo.cluster_port),
            api: at(demo.cluster_port.saturating_add(API_PORT_OFFSET)),
            fleet: at(demo.fleet_port),
        }
    }

    /// Checks that the instance's addresses are unused. Gateways share their ports with the process
    /// that replaces them in an upgrade, so without this check, two demos would use the same ports
    /// without an error.
    pub(super) fn check_addresses(&self) -> Result<(), DemoError> {
        let unavailable = |address: &String| {
            let address = address.clone();
            |error| DemoError::Address { address, error }
        };
        let mut addresses = vec![&self.listen, &self.rest, &self.management];
        if self.is_one_of_several {
            UdpSocket::bind(&self.fleet).map_err(unavailable(&self.fleet))?;
            addresses.extend([&self.peer, &self.api]);
        }
        for address in addresses {
            TcpListener::bind(address).map_err(unavailable(address))?;
        }
        Ok(())
    }

    /// Writes the configuration and the settings of the instance to its folder.
    pub(super) fn write_files(
        &self,
        engines: &FakeUpstreams,
        instances: &[Instance],
    ) -> Result<(), DemoError> {
        create_folder(&self.folder)?;
        let mut settings = violetgate_fake_upstreams::settings();
        if let Some(settings) = settings.as_object_mut() {
            settings.insert("balancers".to_owned(), instances.len().into());
        }
        let name = format!("demo-{}", self.number);
        let config = engines.config(&name, &self.listen, &settings);
        self.write_file("config.json", &config.to_string())?;
        self.write_file("violetgate.hcl", &self.settings_text(instances))
    }

    fn write_file(&self, name: &str, text: &str) -> Result<(), DemoError> {
        let path = self.folder.join(name);
        std::fs::write(&path, text).map_err(|error| DemoError::File { path, error })
    }

    fn settings_text(&self, instances: &[Instance]) -> String {
        let rest = format!("rest {{\n  listen = \"{}\"\n}}\n", self.rest);
        if self.is_one_of_several {
            rest + &self.cluster_block(instances) + &self.fleet_block(instances)
        } else {
            rest
        }
    }

    fn cluster_block(&self, instances: &[Instance]) -> String {
        let members: String = instances
            .iter()
            .map(|instance| format!("    \"{}\" = \"{}\"\n", instance.number, instance.peer))
            .collect();
        format!(
            "cluster {{\n  name = \"demo\"\n  id = {}\n  folder = \"{}\"\n  listen = \"{}\"\n  \
             api = \"{}\"\n  members = {{\n{members}  }}\n}}\n",
            self.number,
            self.folder.join("member").display(),
            self.peer,
            self.api,
        )
    }

    fn fleet_block(&self, instances: &[Instance]) -> String {
        let seeds: Vec<_> = instances
            .iter()
            .map(|instance| format!("\"{}\"", instance.fleet))
            .collect();
        format!(
            "fleet {{\n  name = \"demo\"\n  member = \"demo-{}\"\n  listen = \"{}\"\n  seeds = [{}]\n  \
             settle = \"8s\"\n}}\n",
            self.number,
            self.fleet,
            seeds.join(", "),
        )
    }

    /// Creates the member's folder, if the instance is a member of a cluster.
    pub(super) fn initialize_member(&self, program: &Path) -> Result<(), DemoError> {
        if !self.is_one_of_several {
            return Ok(());
        }
        let initialized = Command::new(program)
            .args(["members", "init", "--settings"])
            .arg(self.folder.join("violetgate.hcl"))
            .status();
        if initialized.is_ok_and(|status| status.success()) {
            Ok(())
        } else {
            Err(DemoError::MemberFolder(self.number))
        }
    }

    /// Starts the gateway's process.
    pub(super) fn serve(&self, program: &Path) -> Result<Child, DemoError> {
        Command::new(program)
            .arg("serve")
            .arg("--settings")
            .arg(self.folder.join("violetgate.hcl"))
            .env("PROXY_CONFIG", self.folder.join("config.json"))
            .env("PROXY_LISTEN", &self.listen)
            .env("PROXY_MANAGEMENT", &self.management)
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .spawn()
            .map_err(DemoError::Start)
    }
}

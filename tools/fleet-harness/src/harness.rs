//! The fleet: its processes, the engines behind them and the relay between them.

use std::io::{Error, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use violetgate_fake_upstreams::{FakeUpstreams, Profile};
use violetgate_test_harness::{reserve_tcp_addresses, reserve_udp_addresses, wait_until};

use crate::process::{GatewayProcess, ObservedState};
use crate::relay::Relay;

/// How many engines serve the fleet.
const ENGINE_COUNT: usize = 3;
/// How many members are named as seeds.
const SEED_COUNT: usize = 3;
/// How often a condition is checked that is waited for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A fleet of gateway processes.
pub struct FleetHarness {
    /// The processes.
    pub processes: Vec<GatewayProcess>,
    /// What lies between them.
    pub relay: Relay,
    engines: FakeUpstreams,
    folder: PathBuf,
}

impl Drop for FleetHarness {
    fn drop(&mut self) {
        self.processes.iter_mut().for_each(GatewayProcess::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn member_name(number: usize) -> String {
    format!("front-{number}")
}

impl FleetHarness {
    /// Starts `count` processes of a program; `fleet_settings` are further lines of their `fleet`
    /// blocks.
    ///
    /// # Errors
    ///
    /// An engine, the relay or a process can't be started, or a file can't be written.
    pub fn start(program: &Path, count: usize, seed: u64, fleet_settings: &str) -> Result<Self> {
        let engines = FakeUpstreams::start(ENGINE_COUNT, Profile::default())?;
        let process_id = std::process::id();
        let folder = std::env::temp_dir().join(format!("violetgate-fleet-{process_id}-{seed}"));
        let member_addrs = reserve_udp_addresses(count)?;
        let mut fleet = FleetHarness {
            processes: Vec::new(),
            relay: Relay::new(&member_addrs, seed)?,
            engines,
            folder,
        };
        for (number, addr) in member_addrs.into_iter().enumerate() {
            let mut process =
                fleet.prepare_process(program, number, count, addr, fleet_settings)?;
            process.start()?;
            fleet.processes.push(process);
        }
        Ok(fleet)
    }

    /// Writes a process's configuration and settings.
    fn prepare_process(
        &self,
        program: &Path,
        number: usize,
        count: usize,
        member_addr: SocketAddr,
        fleet_settings: &str,
    ) -> Result<GatewayProcess> {
        let name = member_name(number);
        let folder = self.folder.join(&name);
        std::fs::create_dir_all(&folder)?;
        let [listen, management] = reserve_tcp_addresses()?;
        let mut settings = violetgate_fake_upstreams::settings();
        settings["balancers"] = count.into();
        let mut config = self.engines.config(&name, &listen.to_string(), &settings);
        config["management"] = management.to_string().into();
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let relay_addrs = &self.relay.addrs;
        let relay_addr = relay_addrs
            .get(number)
            .ok_or_else(|| Error::other("no relay"))?;
        let seeds: Vec<String> = relay_addrs
            .iter()
            .take(SEED_COUNT)
            .map(|addr| format!("\"{addr}\""))
            .collect();
        let block = format!(
            "fleet {{\n name = \"rig\"\n member = \"{name}\"\n listen = \"{member_addr}\"\n address = \"{relay_addr}\"\n \
             seeds = [{}]\n{fleet_settings}\n}}\n",
            seeds.join(", ")
        );
        std::fs::write(folder.join("violetgate.hcl"), block)?;
        Ok(GatewayProcess::new(
            &name, listen, management, folder, program,
        ))
    }

    /// The engines.
    #[must_use]
    pub fn engines(&self) -> &FakeUpstreams {
        &self.engines
    }

    /// Waits until a condition holds; returns how long that took, or `None` if it did not hold
    /// within the time.
    pub fn wait_until(
        &self,
        within: Duration,
        condition: impl Fn(&FleetHarness) -> bool,
    ) -> Option<Duration> {
        wait_until(within, CHECK_INTERVAL, || condition(self))
    }

    /// Whether each of some processes, but the subject itself, observes a state of the subject.
    #[must_use]
    pub fn all_observe(&self, observers: &[usize], subject: usize, state: ObservedState) -> bool {
        let name = member_name(subject);
        let mut observers = observers.iter().filter(|observer| **observer != subject);
        observers.all(|observer| {
            let process = self.processes.get(*observer);
            process.and_then(|process| process.observed_state(&name)) == Some(state)
        })
    }
}

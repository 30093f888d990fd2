//! Starts a fleet: its gateway processes, the engines behind them and the relay between them.

use std::io::{Error, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use violetgate_fake_upstreams::{FakeUpstreams, Profile};
use violetgate_test_harness::{reserve_tcp_addresses, reserve_udp_addresses, wait_until};

use crate::process::{GatewayProcess, ObservedState};
use crate::relay::Relay;

/// The number of engines that serve the fleet.
const ENGINE_COUNT: usize = 3;
/// The number of members that each process knows at its start, its seeds.
const SEED_COUNT: usize = 3;
/// The interval at which [`FleetHarness::wait_until`] checks its condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A fleet of gateway processes. Dropping it kills them and removes their folders.
pub struct FleetHarness {
    /// The gateway processes, by member number.
    pub processes: Vec<GatewayProcess>,
    /// The relay that carries the fleet's datagrams between the processes.
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
    /// Starts `count` gateway processes of a program. `fleet_settings` are added as lines to the
    /// `fleet` block of their settings.
    ///
    /// # Errors
    ///
    /// Returns an error if an engine, the relay or a process can't be started, or a file can't be
    /// written.
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
            .ok_or_else(|| Error::other("the member has no relay"))?;
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

    /// The fake engines that serve the fleet's requests.
    #[must_use]
    pub fn engines(&self) -> &FakeUpstreams {
        &self.engines
    }

    /// Waits until a condition holds. Returns how long that took, or `None` if the condition did
    /// not hold within the time.
    pub fn wait_until(
        &self,
        within: Duration,
        condition: impl Fn(&FleetHarness) -> bool,
    ) -> Option<Duration> {
        wait_until(within, CHECK_INTERVAL, || condition(self))
    }

    /// Whether all `observers` see the subject in the given state. The subject itself is skipped if
    /// it is among them.
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

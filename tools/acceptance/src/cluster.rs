//! Runs a cluster of gateway processes on loopback, with a network between them that can be cut.

mod files;
mod instance;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use violetgate_fake_upstreams::FakeUpstreams;
use violetgate_test_harness::wait_until;

use crate::network::ClusterNetwork;
use crate::{AcceptanceError, Result};
use files::InstanceAddresses;
pub use instance::{DiskUsage, Instance};

/// How long a new cluster may take until all its instances route requests.
const START_TIMEOUT: Duration = Duration::from_secs(10);
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A cluster of instances. Dropping it kills their processes and removes their folders.
pub struct Cluster {
    /// The instances in ascending order of their ids.
    pub instances: Vec<Instance>,
    /// The network between the instances.
    pub network: ClusterNetwork,
    folder: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.instances.iter().for_each(Instance::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    /// Starts `count` instances in front of fake engines and waits until all of them route
    /// requests. `cluster_settings` holds additional lines of their `cluster` blocks.
    ///
    /// # Errors
    ///
    /// An instance can't be started, or not all of them route requests within ten seconds.
    pub fn start(
        program: &Path,
        engines: &FakeUpstreams,
        count: u64,
        cluster_settings: &str,
    ) -> Result<Self> {
        let folder = unused_folder();
        let mut addresses = BTreeMap::new();
        for id in 1..=count {
            addresses.insert(id, InstanceAddresses::reserve()?);
        }
        let peers = addresses.iter().map(|(id, at)| (*id, at.peer)).collect();
        let network = ClusterNetwork::new(&peers)?;
        let mut instances = Vec::new();
        for (id, own) in addresses {
            let peers = network.addresses_seen_from(id);
            let instance_folder = folder.join(id.to_string());
            files::write_config(&instance_folder, engines, id, &own)?;
            files::write_settings(&instance_folder, id, &own, &peers, cluster_settings)?;
            files::initialize_member(program, &instance_folder)?;
            instances.push(Instance::new(id, &own, program, instance_folder));
        }
        let cluster = Cluster {
            instances,
            network,
            folder,
        };
        for instance in &cluster.instances {
            instance.start()?;
        }
        if cluster.wait_until_ready(START_TIMEOUT) {
            return Ok(cluster);
        }
        let logs: Vec<_> = cluster.instances.iter().map(Instance::log).collect();
        let logs = logs.join("\n");
        Err(AcceptanceError::NoLeader { logs })
    }

    /// Waits until all instances route requests. Returns `false` if they don't within the time.
    #[must_use]
    pub fn wait_until_ready(&self, within: Duration) -> bool {
        let routes = |instance: &Instance| {
            let status = instance.status();
            status.is_ok_and(|status| status["routes"] == true)
        };
        let all_route = || self.instances.iter().all(routes);
        wait_until(within, READY_CHECK_INTERVAL, all_route).is_some()
    }

    /// Returns the instance that reports that it is the leader and routes requests, if any.
    #[must_use]
    pub fn leader(&self) -> Option<&Instance> {
        let leads = |instance: &&Instance| {
            let status = instance.status();
            status.is_ok_and(|status| status["role"] == "leader" && status["routes"] == true)
        };
        self.instances.iter().find(leads)
    }

    /// Returns the instance at index `number` modulo the number of instances.
    ///
    /// # Panics
    ///
    /// The cluster has no instances.
    #[must_use]
    pub fn pick(&self, number: u64) -> &Instance {
        let count = self.instances.len().max(1);
        &self.instances[number as usize % count]
    }
}

fn unused_folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Relaxed);
    let process_id = std::process::id();
    std::env::temp_dir().join(format!("violetgate-prove-daemon-{process_id}-{number}"))
}

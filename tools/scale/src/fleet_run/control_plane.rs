//! The control processes: voters, which replicate the state, and observers, which serve it to
//! subscribers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

use serde_json::{json, Value};
use violetgate_fake_upstreams::FakeUpstreams;
use violetgate_fleet_harness::GatewayProcess;
use violetgate_test_harness::wait_until;

use super::api_client::call;
use super::error::FleetRunError;
use super::layout::{Layout, Port};
use super::plan::Plan;

/// The name of the cluster, which gateways also use as the name of their fleet.
pub(super) const CLUSTER: &str = "scale";
/// How long the control processes may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// The interval at which a condition that is waited for is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The value of `limits.sockets` in a control process's configuration: the maximum number of
/// descriptors for clients and engines.
const SOCKET_LIMIT: u64 = 256;
/// The maximum number of subscribers of an observer. It is large enough for two of four observers
/// to serve all gateways, each of which holds two subscriptions.
const MAX_SUBSCRIBERS: u64 = 8_000;
/// An odd multiplier that derives the seeds of members from the run's seed. Members need different
/// seeds, otherwise their elections would begin at the same moments.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Metrics that count messages between members.
const MESSAGE_METRICS: [&str; 2] = [
    "svc_cluster_messages_sent_total",
    "svc_cluster_messages_received_total",
];

/// The inputs for starting the control processes.
pub(super) struct ControlSetup<'a> {
    pub plan: &'a Plan,
    pub layout: &'a Layout,
    pub program: &'a Path,
    pub engines: &'a FakeUpstreams,
}

/// One control process: a member of the cluster, a voter or an observer.
pub(super) struct ControlProcess {
    pub id: u64,
    pub api: SocketAddr,
    pub process: GatewayProcess,
}

impl ControlProcess {
    /// Returns the member's view of the cluster as JSON, or null if it does not answer.
    fn status(&self) -> Value {
        let reply = call(self.api, "GET", "/v1/cluster", None, b"");
        reply.map(|reply| reply.json()).unwrap_or_default()
    }

    fn routes(&self) -> bool {
        self.status().get("routes") == Some(&Value::Bool(true))
    }
}

/// Process ids of the control processes.
pub(super) struct ControlPids {
    pub voters: Vec<u32>,
    pub observers: Vec<u32>,
}

/// All control processes, voters first.
pub(super) struct ControlPlane {
    processes: Vec<ControlProcess>,
    voters: usize,
}

impl ControlPlane {
    /// Starts the voters, then the observers, and waits until all members report that they may
    /// route requests.
    pub(super) fn start(setup: &ControlSetup<'_>) -> Result<Self, FleetRunError> {
        let plan = setup.plan;
        let mut control = ControlPlane {
            processes: Vec::new(),
            voters: plan.voters as usize,
        };
        for id in 1..=plan.voters {
            control.add(setup, id)?;
        }
        control.wait_until_ready()?;
        for id in plan.voters + 1..=plan.voters + plan.observers {
            control.join(setup.layout, id)?;
            control.add(setup, id)?;
        }
        control.wait_until_ready()?;
        Ok(control)
    }

    /// Creates a member's folder and starts its process.
    fn add(&mut self, setup: &ControlSetup<'_>, id: u64) -> Result<(), FleetRunError> {
        let ControlSetup {
            plan,
            layout,
            program,
            engines,
        } = setup;
        let name = format!("control-{id}");
        let folder = layout.folder(&name)?;
        let listen = layout.control(id, Port::Clients);
        let management = layout.control(id, Port::Management);
        let mut config = engines.config(
            &name,
            &listen.to_string(),
            &violetgate_fake_upstreams::settings(),
        );
        config["management"] = management.to_string().into();
        config["limits"]["sockets"] = SOCKET_LIMIT.into();
        config["seed"] = format!("{:016x}", plan.seed.wrapping_mul(SEED_MULTIPLIER) ^ id).into();
        layout.write(&folder, "config.json", &config.to_string())?;
        let settings = control_settings(plan, layout, &folder, id);
        let settings = layout.write(&folder, "violetgate.hcl", &settings)?;
        let joins = id > plan.voters;
        initialize_member(program, &settings, joins)?;
        let mut process = GatewayProcess::new(&name, listen, management, folder, program);
        process
            .start()
            .map_err(FleetRunError::io("start a control process"))?;
        let api = layout.control(id, Port::Api);
        self.processes.push(ControlProcess { id, api, process });
        Ok(())
    }

    /// Adds a member to the cluster as a learner, by a call to any running member's API.
    fn join(&self, layout: &Layout, id: u64) -> Result<(), FleetRunError> {
        let listen = layout.control(id, Port::Members);
        let api = layout.control(id, Port::Api);
        let body = json!({"add": {"id": id, "listen": listen, "api": api}}).to_string();
        let request_id = format!("add-{id}");
        let add_at = |control: &ControlProcess| {
            let path = "/v1/cluster/members";
            let reply = call(
                control.api,
                "POST",
                path,
                Some(&request_id),
                body.as_bytes(),
            );
            reply.is_ok_and(|reply| reply.status == 200)
        };
        let is_added = || self.processes.iter().any(add_at);
        wait_until(START_TIMEOUT, CHECK_INTERVAL, is_added)
            .map(drop)
            .ok_or_else(|| late(format!("adding member {id} to the cluster"), String::new()))
    }

    /// Waits until all members report that they may route requests.
    pub(super) fn wait_until_ready(&self) -> Result<(), FleetRunError> {
        let all_route = || self.processes.iter().all(ControlProcess::routes);
        wait_until(START_TIMEOUT, CHECK_INTERVAL, all_route)
            .map(drop)
            .ok_or_else(|| {
                let processes = self.processes.iter().map(|control| &control.process);
                let logs =
                    processes.map(|process| format!("{}: {}\n", process.name, process.log()));
                late(
                    "routing by all control processes".to_owned(),
                    logs.collect(),
                )
            })
    }

    /// Returns the addresses of the operators' API, of all members.
    pub(super) fn apis(&self) -> Vec<SocketAddr> {
        self.processes.iter().map(|control| control.api).collect()
    }

    /// Returns the management addresses of all members, at which metrics are read.
    pub(super) fn managements(&self) -> Vec<SocketAddr> {
        let processes = self.processes.iter();
        processes
            .map(|control| control.process.management)
            .collect()
    }

    /// Returns the current leader, as named by the first member that knows one.
    pub(super) fn leader(&mut self) -> Option<&mut ControlProcess> {
        let mut statuses = self.processes.iter().map(ControlProcess::status);
        let leader = statuses.find_map(|status| status.get("leader")?.as_u64())?;
        self.member(leader)
    }

    /// Returns the member with this id.
    pub(super) fn member(&mut self, id: u64) -> Option<&mut ControlProcess> {
        self.processes.iter_mut().find(|control| control.id == id)
    }

    /// Returns how many messages voters have sent to members and received from them, or NaN if a
    /// voter's metrics can't be read.
    pub(super) fn voter_messages(&self) -> f64 {
        let voters = self.processes.iter().take(self.voters);
        let messages = voters.map(|voter| {
            let metrics = voter.process.metrics();
            let values = MESSAGE_METRICS.iter().map(|name| metrics.get(*name));
            values
                .map(|value| value.copied().unwrap_or(f64::NAN))
                .sum::<f64>()
        });
        messages.sum()
    }

    /// Returns the process ids of the running control processes.
    pub(super) fn pids(&self) -> ControlPids {
        let pids = |processes: &[ControlProcess]| {
            let processes = processes.iter();
            processes
                .filter_map(|control| control.process.pid())
                .collect()
        };
        let voters = self.voters.min(self.processes.len());
        let (voters, observers) = self.processes.split_at(voters);
        ControlPids {
            voters: pids(voters),
            observers: pids(observers),
        }
    }

    /// Returns how often control processes ended without being killed by the run.
    pub(super) fn crash_count(&self) -> u64 {
        let processes = self.processes.iter();
        processes.map(|control| control.process.crash_count()).sum()
    }
}

fn late(what: String, found: String) -> FleetRunError {
    FleetRunError::Late {
        what,
        seconds: START_TIMEOUT.as_secs(),
        found,
    }
}

fn control_settings(plan: &Plan, layout: &Layout, folder: &Path, id: u64) -> String {
    let voters = 1..=plan.voters;
    let known: BTreeMap<u64, SocketAddr> = voters
        .chain([id])
        .map(|id| (id, layout.control(id, Port::Members)))
        .collect();
    let subscribers = if id > plan.voters {
        let listen = layout.control(id, Port::Subscribers);
        format!("  subscribers_listen = \"{listen}\"\n  subscribers = {MAX_SUBSCRIBERS}\n")
    } else {
        String::new()
    };
    let members: String = known
        .iter()
        .map(|(id, addr)| format!("    \"{id}\" = \"{addr}\"\n"))
        .collect();
    format!(
        "cluster {{\n  name = \"{CLUSTER}\"\n  id = {id}\n  folder = \"{}\"\n  listen = \"{}\"\n  api = \"{}\"\n  \
         members = {{\n{members}  }}\n{subscribers}}}\n",
        folder.join("member").display(),
        layout.control(id, Port::Members),
        layout.control(id, Port::Api),
    )
}

/// Creates a member's folder with `violetgate members init`. `joins` means that the member joins a
/// running cluster, and is not one of its initial voters.
fn initialize_member(program: &Path, settings: &Path, joins: bool) -> Result<(), FleetRunError> {
    let mut command = Command::new(program);
    command
        .args(["members", "init", "--settings"])
        .arg(settings)
        .stdout(Stdio::null());
    if joins {
        command.arg("--join");
    }
    let output = command
        .output()
        .map_err(FleetRunError::io("run violetgate members init"))?;
    if output.status.success() {
        return Ok(());
    }
    Err(FleetRunError::Ended {
        name: "violetgate members init".to_owned(),
        cause: String::from_utf8_lossy(&output.stderr).into_owned(),
    })
}

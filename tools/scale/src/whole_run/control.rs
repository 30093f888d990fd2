//! The control processes: voters that agree, and observers that serve subscribers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use violetgate_fake_upstreams::FakeUpstreams;
use violetgate_fleet_harness::GatewayProcess;

use super::changes::call;
use super::layout::{Layout, Port};
use super::{Plan, WholeRunError};

/// The name of the cluster.
pub(super) const CLUSTER: &str = "scale";
/// How long the control processes may take to come up.
const START: Duration = Duration::from_secs(30);
/// How often something that is waited for is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// Figures of messages between members.
const MESSAGES: [&str; 2] = [
    "svc_cluster_messages_sent_total",
    "svc_cluster_messages_received_total",
];

/// One control process.
pub(super) struct Member {
    pub id: u64,
    pub api: SocketAddr,
    pub process: GatewayProcess,
}

impl Member {
    /// What it says of itself; null: it does not answer.
    pub(super) fn status(&self) -> Value {
        call(self.api, "GET", "/v1/cluster", None, b"")
            .map(|reply| reply.json())
            .unwrap_or_default()
    }

    fn routes(&self) -> bool {
        self.status().get("routes") == Some(&Value::Bool(true))
    }
}

/// All control processes, voters first.
pub(super) struct Control {
    pub members: Vec<Member>,
    voters: usize,
}

impl Control {
    /// Starts the voters, then the observers, and waits until all of them route.
    pub(super) fn start(
        plan: &Plan,
        layout: &Layout,
        program: &Path,
        engines: &FakeUpstreams,
    ) -> Result<Self, WholeRunError> {
        let mut control = Control {
            members: Vec::new(),
            voters: plan.voters as usize,
        };
        for id in 1..=plan.voters {
            control.add(plan, layout, program, engines, id)?;
        }
        control.settle()?;
        for id in plan.voters + 1..=plan.voters + plan.observers {
            control.join(layout, id)?;
            control.add(plan, layout, program, engines, id)?;
        }
        control.settle()?;
        Ok(control)
    }

    /// Makes a member's folder and starts it.
    fn add(
        &mut self,
        plan: &Plan,
        layout: &Layout,
        program: &Path,
        engines: &FakeUpstreams,
        id: u64,
    ) -> Result<(), WholeRunError> {
        let name = format!("control-{id}");
        let folder = layout.folder(&name)?;
        let (listen, management) = (
            layout.control(id, Port::Clients),
            layout.control(id, Port::Management),
        );
        let mut config = engines.config(
            &name,
            &listen.to_string(),
            &violetgate_fake_upstreams::settings(),
        );
        config["management"] = management.to_string().into();
        config["limits"]["sockets"] = SOCKETS.into();
        config["seed"] = format!("{:016x}", plan.seed.wrapping_mul(SEED_STEP) ^ id).into();
        layout.write(&folder, "config.json", &config.to_string())?;
        let settings = settings(plan, layout, &folder, id);
        let settings = layout.write(&folder, "violetgate.hcl", &settings)?;
        init(program, &settings, id > plan.voters)?;
        let mut process = GatewayProcess::new(&name, listen, management, folder, program);
        process
            .start()
            .map_err(WholeRunError::machine("start a control process"))?;
        let api = layout.control(id, Port::Api);
        self.members.push(Member { id, api, process });
        Ok(())
    }

    /// Has the voters take a member in, which learns.
    fn join(&self, layout: &Layout, id: u64) -> Result<(), WholeRunError> {
        let (listen, api) = (
            layout.control(id, Port::Members),
            layout.control(id, Port::Api),
        );
        let body = json!({"add": {"id": id, "listen": listen, "api": api}}).to_string();
        let added = || {
            let replies = self.members.iter().map(|member| {
                call(
                    member.api,
                    "POST",
                    "/v1/cluster/members",
                    Some(&format!("add-{id}")),
                    body.as_bytes(),
                )
            });
            replies.flatten().any(|reply| reply.status == 200)
        };
        wait_for(&format!("member {id} taken into the cluster"), START, added)
    }

    /// Waits until all members route.
    pub(super) fn settle(&self) -> Result<(), WholeRunError> {
        let settled = wait_for("all control processes route", START, || {
            self.members.iter().all(Member::routes)
        });
        settled.map_err(|late| match late {
            WholeRunError::Late { what, seconds, .. } => {
                let found = self
                    .members
                    .iter()
                    .map(|m| format!("{}: {}\n", m.process.name, m.process.log()));
                WholeRunError::Late {
                    what,
                    seconds,
                    found: found.collect(),
                }
            }
            other => other,
        })
    }

    /// Where operators call, at all of them.
    pub(super) fn apis(&self) -> Vec<SocketAddr> {
        self.members.iter().map(|member| member.api).collect()
    }

    /// Where their figures are read.
    pub(super) fn managements(&self) -> Vec<SocketAddr> {
        self.members
            .iter()
            .map(|member| member.process.management)
            .collect()
    }

    /// The voter that leads.
    pub(super) fn leader(&mut self) -> Option<&mut Member> {
        let leader = self
            .members
            .iter()
            .find_map(|member| member.status().get("leader")?.as_u64())?;
        self.member(leader)
    }

    /// A member by its id.
    pub(super) fn member(&mut self, id: u64) -> Option<&mut Member> {
        self.members.iter_mut().find(|member| member.id == id)
    }

    /// Messages that voters have sent to members and received from them.
    pub(super) fn voters_messages(&self) -> f64 {
        let voters = self.members.iter().take(self.voters);
        let messages = voters.map(|voter| {
            let figures = voter.process.metrics();
            MESSAGES
                .iter()
                .map(|name| figures.get(*name).copied().unwrap_or(f64::NAN))
                .sum::<f64>()
        });
        messages.sum()
    }

    /// Process ids of the voters and of the observers.
    pub(super) fn pids(&self) -> (Vec<u32>, Vec<u32>) {
        let pids = |members: &[Member]| members.iter().filter_map(|m| m.process.pid()).collect();
        let (voters, observers) = self.members.split_at(self.voters.min(self.members.len()));
        (pids(voters), pids(observers))
    }

    /// Processes that ended by themselves.
    pub(super) fn crashed(&self) -> u64 {
        self.members
            .iter()
            .map(|member| member.process.crash_count())
            .sum()
    }
}

/// Descriptors that a control process may use for clients and engines.
const SOCKETS: u64 = 256;
/// Subscribers that an observer takes: with two observers gone the others hold all of them, each front end two.
const SUBSCRIBERS: u64 = 8_000;
/// Seeds of members differ, or their elections would begin at the same moments.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

fn settings(plan: &Plan, layout: &Layout, folder: &Path, id: u64) -> String {
    let voters = 1..=plan.voters;
    let known: BTreeMap<u64, SocketAddr> = voters
        .chain([id])
        .map(|id| (id, layout.control(id, Port::Members)))
        .collect();
    let subscribers = if id > plan.voters {
        let listen = layout.control(id, Port::Subscribers);
        format!("  subscribers_listen = \"{listen}\"\n  subscribers = {SUBSCRIBERS}\n")
    } else {
        String::new()
    };
    let members: String = known
        .iter()
        .map(|(id, at)| format!("    \"{id}\" = \"{at}\"\n"))
        .collect();
    format!(
        "cluster {{\n  name = \"{CLUSTER}\"\n  id = {id}\n  folder = \"{}\"\n  listen = \"{}\"\n  api = \"{}\"\n  \
         members = {{\n{members}  }}\n{subscribers}}}\n",
        folder.join("member").display(),
        layout.control(id, Port::Members),
        layout.control(id, Port::Api),
    )
}

fn init(program: &Path, settings: &PathBuf, joins: bool) -> Result<(), WholeRunError> {
    let mut command = Command::new(program);
    command
        .args(["members", "init", "--settings"])
        .arg(settings)
        .stdout(Stdio::null());
    if joins {
        command.arg("--join");
    }
    let made = command
        .output()
        .map_err(WholeRunError::machine("run violetgate members init"))?;
    if made.status.success() {
        return Ok(());
    }
    let cause = String::from_utf8_lossy(&made.stderr).into_owned();
    Err(WholeRunError::Ended {
        name: "violetgate members init".to_owned(),
        cause,
    })
}

/// Waits for something to hold.
pub(super) fn wait_for(
    what: &str,
    within: Duration,
    mut holds: impl FnMut() -> bool,
) -> Result<(), WholeRunError> {
    let until = Instant::now() + within;
    while !holds() {
        if Instant::now() > until {
            let what = what.to_owned();
            return Err(WholeRunError::Late {
                what,
                seconds: within.as_secs(),
                found: String::new(),
            });
        }
        std::thread::sleep(LOOK);
    }
    Ok(())
}

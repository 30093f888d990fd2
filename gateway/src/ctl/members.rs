//! `violetgate members`: creates members' folders, and changes the membership of a cluster.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use violetgate_replica_runtime::{Bootstrap, ReplicaRuntime};

use super::client::{field, print, ApiClient, ApiReply, ClientOptions, RETRY_PAUSE};
use super::error::CtlError;
use crate::replication::MembershipStep;
use crate::settings;

/// Makes members, and changes who belongs to a cluster.
#[derive(Debug, clap::Args)]
pub struct Members {
    #[command(flatten)]
    options: ClientOptions,
    #[command(subcommand)]
    call: MembersCall,
}

/// The maximum time until a new member has caught up with the leader and votes.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(600);
/// The timeout of each call while `members replace` waits for the new member to vote.
const REPLACE_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout of the last call of `members replace`, which removes the old member.
const REMOVE_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause between attempts to promote a member, as a multiple of [`RETRY_PAUSE`].
const PROMOTION_PAUSES: u32 = 5;

#[derive(Debug, clap::Subcommand)]
enum MembersCall {
    /// Make this member's folder, once: as one of the first members that its settings name, or to join others
    Init {
        /// The member's settings
        #[arg(long, env = "VIOLETGATE_SETTINGS")]
        settings: PathBuf,
        /// Join a running cluster, to which this member has been added
        #[arg(long)]
        join: bool,
    },
    /// List the members
    List,
    /// Add a new member, which learns; ids are never used twice
    Add {
        /// Its id, higher than any before
        id: u64,
        /// Where other members connect to it
        listen: SocketAddr,
        /// Where its API is
        api: SocketAddr,
    },
    /// Let a member that has caught up vote
    Promote {
        /// The member's id
        id: u64,
    },
    /// Take a member out, for good
    Remove {
        /// The member's id
        id: u64,
    },
    /// Add a member, wait until it votes, and take another one out
    Replace {
        /// The one that goes
        old: u64,
        /// The one that comes, higher than any before
        id: u64,
        /// Where other members connect to it
        listen: SocketAddr,
        /// Where its API is
        api: SocketAddr,
    },
    /// Hand leadership over
    Transfer {
        /// The id of the voter that becomes the leader
        id: u64,
    },
}

/// Which cluster a member's folder is for: a new one, or a running one that the member joins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    NewCluster,
    RunningCluster,
}

/// Creates a member's folder for a new cluster that starts from a saved state.
pub(super) fn restore_member(settings: &Path, state: Vec<u8>) -> Result<(), CtlError> {
    initialize_member(settings, Origin::NewCluster, state)
}

/// Creates a member's folder.
fn initialize_member(file: &Path, origin: Origin, state: Vec<u8>) -> Result<(), CtlError> {
    let cluster = settings::read(Some(file))?.cluster;
    let cluster = cluster.ok_or_else(|| CtlError::NoCluster(file.to_owned()))?;
    if cluster.role == settings::ClusterRole::Subscriber {
        return Err(CtlError::Subscriber(file.to_owned()));
    }
    let mut disk_id = [0; 8];
    getrandom::fill(&mut disk_id).map_err(CtlError::Random)?;
    let (initial_members, how) = match origin {
        Origin::NewCluster => {
            let members = cluster.addresses().into_keys().collect();
            (members, "is one of the first members of")
        }
        Origin::RunningCluster => (Vec::new(), "joins"),
    };
    let bootstrap = Bootstrap {
        initial_members,
        initial_state: state,
    };
    let disk_id = u64::from_be_bytes(disk_id);
    let (name, id, folder) = (&cluster.name, cluster.id, &cluster.folder);
    ReplicaRuntime::initialize(name, id, folder, disk_id, bootstrap)?;
    let text = format!("{}: member {id} {how} cluster {name}\n", folder.display());
    print(text.as_bytes());
    Ok(())
}

/// Runs `violetgate members`.
///
/// # Errors
///
/// The call failed.
pub fn members(members: &Members) -> Result<(), CtlError> {
    let mut client = ApiClient::new(&members.options)?;
    let step = match &members.call {
        MembersCall::Init { settings, join } => {
            let origin = if *join {
                Origin::RunningCluster
            } else {
                Origin::NewCluster
            };
            return initialize_member(settings, origin, Vec::new());
        }
        MembersCall::List => return list_members(&client),
        MembersCall::Add { id, listen, api } => add_step(*id, *listen, *api),
        MembersCall::Promote { id } => MembershipStep::Promote(*id),
        MembersCall::Remove { id } => MembershipStep::Remove(*id),
        MembersCall::Transfer { id } => MembershipStep::Transfer(*id),
        MembersCall::Replace {
            old,
            id,
            listen,
            api,
        } => {
            add_replacement(&client, *old, *id, add_step(*id, *listen, *api))?;
            promote(&mut client, *id)?;
            client.set_timeout(REMOVE_TIMEOUT);
            MembershipStep::Remove(*old)
        }
    };
    client.change_membership(&step)?;
    list_members(&client)
}

fn add_step(id: u64, listen: SocketAddr, api: SocketAddr) -> MembershipStep {
    MembershipStep::Add { id, listen, api }
}

fn members_of(status: &ApiReply) -> Vec<Value> {
    let status = status.body_json();
    let members = field(&status, "members").as_array();
    members.cloned().unwrap_or_default()
}

fn has_id(member: &Value, id: u64) -> bool {
    *field(member, "id") == json!(id)
}

fn is_voter(member: &Value) -> bool {
    *field(member, "voter") == json!(true)
}

/// Adds the member `id` as the replacement of `old`, unless an earlier run has already added it.
fn add_replacement(
    client: &ApiClient,
    old: u64,
    id: u64,
    add: MembershipStep,
) -> Result<(), CtlError> {
    let members = members_of(&client.get("/v1/cluster")?);
    if !members.iter().any(|member| has_id(member, old)) {
        return Err(CtlError::UnknownMember(old));
    }
    if !members.iter().any(|member| has_id(member, id)) {
        client.change_membership(&add)?;
        print(format!("member {id} learns; waiting until it has caught up\n").as_bytes());
    }
    Ok(())
}

/// Promotes a learner, a member that doesn't vote yet, and waits until it votes. A promotion is
/// rejected until the learner has caught up, so it is repeated.
fn promote(client: &mut ApiClient, id: u64) -> Result<(), CtlError> {
    let deadline = Instant::now() + PROMOTION_TIMEOUT;
    loop {
        client.set_timeout(REPLACE_CALL_TIMEOUT);
        let members = members_of(&client.get("/v1/cluster")?);
        let votes = |member: &Value| has_id(member, id) && is_voter(member);
        if members.iter().any(votes) {
            return Ok(());
        }
        match client.change_membership(&MembershipStep::Promote(id)) {
            Err(error) if Instant::now() > deadline => return Err(error),
            _ => std::thread::sleep(RETRY_PAUSE * PROMOTION_PAUSES),
        }
    }
}

/// Prints a table of the members.
pub(super) fn list_members(client: &ApiClient) -> Result<(), CtlError> {
    let reply = client.get("/v1/cluster")?;
    let status = reply.body_json();
    let leader = field(&status, "leader");
    let mut out = format!("{:<6} {:<8} {:<22} {:<22}\n", "id", "role", "listen", "api");
    for member in members_of(&reply) {
        let text = |name| field(&member, name).as_str().unwrap_or("-").to_owned();
        let id = field(&member, "id");
        let role = if id == leader {
            "leader"
        } else if is_voter(&member) {
            "voter"
        } else {
            "learner"
        };
        let (listen, api) = (text("listen"), text("api"));
        out += &format!("{:<6} {role:<8} {listen:<22} {api:<22}\n", id.to_string());
    }
    print(out.as_bytes());
    Ok(())
}

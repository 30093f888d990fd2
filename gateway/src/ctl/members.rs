//! `violetgate members`: makes members' folders, and changes who belongs to a cluster.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use violetgate_replica_runtime::{Bootstrap, ReplicaRuntime};

use super::client::{at, print, At, Client, PAUSE};
use crate::replication::MembershipStep;
use crate::settings;

/// Makes members, and changes who belongs to a cluster.
#[derive(Debug, clap::Args)]
pub struct Members {
    #[command(flatten)]
    at: At,
    #[command(subcommand)]
    call: MembersCall,
}

#[derive(Debug, clap::Subcommand)]
enum MembersCall {
    /// Make this member's folder, once: as one of the first members that its settings name, or to join others
    Init {
        /// The member's settings
        #[arg(long, env = "VIOLETGATE_SETTINGS")]
        settings: PathBuf,
        /// It joins a cluster that runs, and was added there
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
        /// Its id
        id: u64,
    },
    /// Take a member out, for good
    Remove {
        /// Its id
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
        /// To this voter
        id: u64,
    },
}

/// Makes a member's folder.
pub(super) fn begin(file: &Path, join: bool, state: Vec<u8>) -> Result<(), String> {
    let settings = settings::read(Some(file)).map_err(|error| error.to_string())?;
    let given = settings
        .cluster
        .ok_or_else(|| format!("{}: there is no `cluster` block", file.display()))?;
    if given.role == settings::ClusterRole::Subscriber {
        return Err(format!(
            "{}: `cluster.role`: a subscriber has no folder",
            file.display()
        ));
    }
    let mut born = [0; 8];
    getrandom::fill(&mut born).map_err(|e| format!("no random numbers: {e}"))?;
    let members = if join {
        Vec::new()
    } else {
        given.addresses().into_keys().collect()
    };
    let from = Bootstrap {
        initial_members: members,
        initial_state: state,
    };
    ReplicaRuntime::initialize(
        &given.name,
        given.id,
        &given.folder,
        u64::from_be_bytes(born),
        from,
    )
    .map_err(|error| error.to_string())?;
    let how = if join {
        "joins"
    } else {
        "is one of the first members of"
    };
    let place = given.folder.display();
    print(
        format!(
            "{place}: member {} {how} cluster {}\n",
            given.id, given.name
        )
        .as_bytes(),
    );
    Ok(())
}

/// Runs `violetgate members`.
///
/// # Errors
///
/// The call failed; the text says why.
pub fn members(members: &Members) -> Result<(), String> {
    let mut client = Client::new(&members.at)?;
    let step = match &members.call {
        MembersCall::Init { settings, join } => return begin(settings, *join, Vec::new()),
        MembersCall::List => return list(&client),
        MembersCall::Add { id, listen, api } => MembershipStep::Add {
            id: *id,
            listen: *listen,
            api: *api,
        },
        MembersCall::Promote { id } => MembershipStep::Promote(*id),
        MembersCall::Remove { id } => MembershipStep::Remove(*id),
        MembersCall::Transfer { id } => MembershipStep::Transfer(*id),
        MembersCall::Replace {
            old,
            id,
            listen,
            api,
        } => {
            let status = client.get("/v1/cluster")?.json();
            let all = at(&status, "members")
                .as_array()
                .cloned()
                .unwrap_or_default();
            if !all.iter().any(|m| *at(m, "id") == json!(old)) {
                return Err(format!("member {old} does not belong to the cluster"));
            }
            // A second run goes on where the first one ended.
            if !all.iter().any(|m| *at(m, "id") == json!(id)) {
                client.step(&MembershipStep::Add {
                    id: *id,
                    listen: *listen,
                    api: *api,
                })?;
                print(format!("member {id} learns; waiting until it has caught up\n").as_bytes());
            }
            let until = Instant::now() + Duration::from_secs(600);
            loop {
                client.patient(Duration::from_secs(5));
                let status = client.get("/v1/cluster")?.json();
                let all = at(&status, "members")
                    .as_array()
                    .cloned()
                    .unwrap_or_default();
                if all
                    .iter()
                    .any(|m| *at(m, "id") == json!(id) && *at(m, "voter") == json!(true))
                {
                    break;
                }
                match client.step(&MembershipStep::Promote(*id)) {
                    Err(e) if Instant::now() > until => return Err(e),
                    _ => std::thread::sleep(PAUSE * 5),
                }
            }
            client.patient(Duration::from_secs(30));
            MembershipStep::Remove(*old)
        }
    };
    client.step(&step)?;
    list(&client)
}

pub(super) fn list(client: &Client) -> Result<(), String> {
    let status = client.get("/v1/cluster")?.json();
    let text = |v: &Value| v.as_str().map_or_else(|| "-".to_owned(), str::to_owned);
    let mut out = format!("{:<6} {:<8} {:<22} {:<22}\n", "id", "role", "listen", "api");
    for member in at(&status, "members").as_array().into_iter().flatten() {
        let role = match (
            at(member, "id") == at(&status, "leader"),
            *at(member, "voter") == json!(true),
        ) {
            (true, _) => "leader",
            (false, true) => "voter",
            (false, false) => "learner",
        };
        let (listen, api) = (text(at(member, "listen")), text(at(member, "api")));
        out += &format!(
            "{:<6} {role:<8} {listen:<22} {api:<22}\n",
            at(member, "id").to_string()
        );
    }
    print(out.as_bytes());
    Ok(())
}

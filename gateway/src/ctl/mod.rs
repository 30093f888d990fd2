//! `violetgate ctl` and `violetgate members`: operators' calls to a cluster's API, and the making of members' folders.
//!
//! It keeps no state: what a call means is the cluster's. It must never guess at the outcome of a change: one that got no
//! answer is asked again under its one request id.

mod client;
mod members;
mod saved;

use std::io::Read;
use std::path::PathBuf;
use std::time::Duration;

use ureq::http::Method;

use client::{at, print, query, shown, At, Client, Told};
use members::{begin, list};
use saved::{sealed, unsealed};

pub use members::{members, Members};

/// Reads and changes what a cluster has agreed on.
#[derive(Debug, clap::Args)]
pub struct Ctl {
    #[command(flatten)]
    at: At,
    #[command(subcommand)]
    call: CtlCall,
}

#[derive(Debug, clap::Subcommand)]
enum CtlCall {
    /// Print the value of a key
    Get {
        /// The key
        key: String,
        /// Read this member's copy, however old it is
        #[arg(long)]
        stale: bool,
    },
    /// List keys, their revisions and values; all pages are of one revision
    List {
        /// Keys that begin with this
        #[arg(default_value = "")]
        prefix: String,
        /// Read this member's copy, however old it is
        #[arg(long)]
        stale: bool,
    },
    /// Set a key
    Put {
        /// The key
        key: String,
        /// The value; without it, standard input
        value: Option<String>,
        /// Only if the key was last changed in this revision; 0: only if it is not there
        #[arg(long)]
        if_revision: Option<u64>,
    },
    /// Take a key away
    Delete {
        /// The key
        key: String,
        /// Only if the key was last changed in this revision
        #[arg(long)]
        if_revision: Option<u64>,
    },
    /// Print changes as they come, a line of JSON each, until interrupted
    Watch {
        /// Of keys that begin with this
        #[arg(default_value = "")]
        prefix: String,
        /// After this revision; without it, from now on
        #[arg(long)]
        after: Option<u64>,
        /// End after so many changes
        #[arg(long)]
        count: Option<u64>,
    },
    /// Call an engine out everywhere: nothing more is sent to it
    Cordon {
        /// The engine
        engine: String,
    },
    /// Call an engine back
    Uncordon {
        /// The engine
        engine: String,
    },
    /// Drain an instance: its clients are sent elsewhere
    Quiesce {
        /// A member's id, or the name of a front end that subscribes
        instance: String,
    },
    /// Let an instance take clients again
    Resume {
        /// A member's id, or the name of a front end that subscribes
        instance: String,
    },
    /// The agreed settings, which come before each instance's own file
    Settings {
        #[command(subcommand)]
        call: SettingsCall,
    },
    /// What a member is at
    Status,
    /// How far all front ends that subscribe are, as observers reported it
    Progress,
    /// List the members
    Members,
    /// Save the whole state to a file, and begin a member's folder with one
    Snapshot {
        #[command(subcommand)]
        call: SnapshotCall,
    },
}

#[derive(Debug, clap::Subcommand)]
enum SettingsCall {
    /// Print the settings that hold, or an earlier version
    Show {
        /// The version
        #[arg(long)]
        version: Option<u64>,
    },
    /// Make a file the settings that hold, once all of it has been checked
    Apply {
        /// The file
        file: PathBuf,
        /// Only if this version holds now; 0: none does
        #[arg(long)]
        expect: Option<u64>,
    },
    /// List the versions that are kept
    Versions,
    /// Make an earlier version hold again, as a new one
    Rollback {
        /// The version
        version: u64,
    },
}

#[derive(Debug, clap::Subcommand)]
enum SnapshotCall {
    /// Write the state to a file
    Save {
        /// The file
        file: PathBuf,
    },
    /// Make this member's folder from a file: every first member of the new cluster from the same one
    Restore {
        /// The file
        file: PathBuf,
        /// The member's settings
        #[arg(long, env = "VIOLETGATE_SETTINGS")]
        settings: PathBuf,
    },
}

/// Runs `violetgate ctl`.
///
/// # Errors
///
/// The call failed; the text says why.
pub fn run(ctl: &Ctl) -> Result<(), String> {
    let client = Client::new(&ctl.at)?;
    let stale = |stale: bool| stale.then(|| "true".to_owned());
    let number = |n: &Option<u64>| n.map(|n| n.to_string());
    let done = |told: Told| {
        print(&told.body);
        Ok(())
    };
    match &ctl.call {
        CtlCall::Get { key, stale: old } => {
            let told = client.get(&query(
                "/v1/state",
                &[("key", Some(key.clone())), ("stale", stale(*old))],
            ))?;
            print(format!("{}\n", shown(&told.json())).as_bytes());
            Ok(())
        }
        CtlCall::List { prefix, stale: old } => {
            let mut path = query(
                "/v1/state",
                &[("prefix", Some(prefix.clone())), ("stale", stale(*old))],
            );
            loop {
                let page = client.get(&path)?.json();
                for entry in at(&page, "entries").as_array().into_iter().flatten() {
                    let key = at(entry, "key").as_str().unwrap_or_default();
                    if !print(
                        format!("{key}\t{}\t{}\n", at(entry, "revision"), shown(entry)).as_bytes(),
                    ) {
                        return Ok(());
                    }
                }
                match at(&page, "next").as_str() {
                    Some(next) => path = next.to_owned(),
                    None => return Ok(()),
                }
            }
        }
        CtlCall::Put {
            key,
            value,
            if_revision,
        } => {
            let value = match value {
                Some(value) => value.clone().into_bytes(),
                None => {
                    let mut bytes = Vec::new();
                    std::io::stdin()
                        .read_to_end(&mut bytes)
                        .map_err(|e| format!("standard input: {e}"))?;
                    bytes
                }
            };
            let path = query(
                "/v1/state",
                &[
                    ("key", Some(key.clone())),
                    ("if_revision", number(if_revision)),
                ],
            );
            done(client.call(&Method::PUT, &path, &value)?)
        }
        CtlCall::Delete { key, if_revision } => {
            let path = query(
                "/v1/state",
                &[
                    ("key", Some(key.clone())),
                    ("if_revision", number(if_revision)),
                ],
            );
            done(client.call(&Method::DELETE, &path, &[])?)
        }
        CtlCall::Watch {
            prefix,
            after,
            count,
        } => watch(client, prefix, *after, *count),
        CtlCall::Cordon { engine } => done(client.call(
            &Method::PUT,
            &query("/v1/cordons", &[("engine", Some(engine.clone()))]),
            &[],
        )?),
        CtlCall::Uncordon { engine } => done(client.call(
            &Method::DELETE,
            &query("/v1/cordons", &[("engine", Some(engine.clone()))]),
            &[],
        )?),
        CtlCall::Quiesce { instance } => done(client.call(&Method::PUT, &drain(instance), &[])?),
        CtlCall::Resume { instance } => {
            done(client.call(&Method::DELETE, &drain(instance), &[])?)
        }
        CtlCall::Settings { call } => match call {
            SettingsCall::Show { version } => {
                done(client.get(&query("/v1/settings", &[("version", number(version))]))?)
            }
            SettingsCall::Apply { file, expect } => {
                let text = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
                done(client.call(
                    &Method::PUT,
                    &query("/v1/settings", &[("expect", number(expect))]),
                    &text,
                )?)
            }
            SettingsCall::Versions => done(client.get("/v1/settings/versions")?),
            SettingsCall::Rollback { version } => {
                let path = query(
                    "/v1/settings/rollback",
                    &[("version", number(&Some(*version)))],
                );
                done(client.call(&Method::POST, &path, &[])?)
            }
        },
        CtlCall::Members => list(&client),
        CtlCall::Progress => done(client.get("/v1/fleet/progress")?),
        CtlCall::Status => done(client.get("/v1/cluster")?),
        CtlCall::Snapshot {
            call: SnapshotCall::Save { file },
        } => {
            let told = client.get("/v1/snapshot")?;
            let aside = file.with_extension("new");
            let write = std::fs::write(&aside, sealed(&told.body))
                .and_then(|()| std::fs::rename(&aside, file));
            write.map_err(|e| format!("{}: {e}", file.display()))?;
            print(format!("{}: {} bytes\n", file.display(), told.body.len()).as_bytes());
            Ok(())
        }
        CtlCall::Snapshot {
            call: SnapshotCall::Restore { file, settings },
        } => {
            let state = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
            let state = unsealed(&state).map_err(|e| format!("{}: {e}", file.display()))?;
            begin(settings, false, state)
        }
    }
}

/// Prints changes for ever, from wherever a member has them.
fn watch(
    mut client: Client,
    prefix: &str,
    after: Option<u64>,
    count: Option<u64>,
) -> Result<(), String> {
    let wait = Duration::from_secs(20);
    let (mut after, mut left) = (after, count.unwrap_or(u64::MAX));
    while left > 0 {
        client.patient(wait + Duration::from_secs(10));
        let pairs = [
            ("prefix", Some(prefix.to_owned())),
            ("after", after.map(|a| a.to_string())),
            (
                "wait_ms",
                Some(if after.is_some() { wait.as_millis() } else { 0 }.to_string()),
            ),
        ];
        let page = client.get(&query("/v1/changes", &pairs))?.json();
        for change in at(&page, "changes").as_array().into_iter().flatten() {
            if left == 0 || !print(format!("{change}\n").as_bytes()) {
                return Ok(());
            }
            left -= 1;
        }
        after = at(&page, "revision").as_u64().or(after);
    }
    Ok(())
}

/// The path by which an instance is drained: numbers are members' ids.
fn drain(instance: &str) -> String {
    let name = if instance.bytes().all(|b| b.is_ascii_digit()) {
        "member"
    } else {
        "front_end"
    };
    query("/v1/drains", &[(name, Some(instance.to_owned()))])
}

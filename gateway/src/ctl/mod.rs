//! `violetgate ctl` and `violetgate members`: operators' calls to a cluster's API, and the creation
//! of members' folders.
//!
//! The commands keep no state of their own. They never assume the outcome of a change: if a request
//! for a change gets no answer, it is sent again under the same request id.

mod client;
mod error;
mod members;
mod saved_state;

use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ureq::http::Method;

use client::{field, path_with_query, print, shown_value, ApiClient, ApiReply, ClientOptions};
use error::CtlError;
use members::{list_members, restore_member};

pub use members::{members, Members};

/// Reads and changes what a cluster has agreed on.
#[derive(Debug, clap::Args)]
pub struct Ctl {
    #[command(flatten)]
    options: ClientOptions,
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
        /// The engine's name
        engine: String,
    },
    /// Call an engine back
    Uncordon {
        /// The engine's name
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
    /// Which revision the front ends that subscribe have applied, as observers reported it
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
        /// The version to print; without it, the settings that hold
        #[arg(long)]
        version: Option<u64>,
    },
    /// Make a file the settings that hold, once all of it has been checked
    Apply {
        /// The settings file
        file: PathBuf,
        /// Only if this version holds now; 0: none does
        #[arg(long)]
        expect: Option<u64>,
    },
    /// List the versions that are kept
    Versions,
    /// Make an earlier version hold again, as a new one
    Rollback {
        /// The version to restore
        version: u64,
    },
}

#[derive(Debug, clap::Subcommand)]
enum SnapshotCall {
    /// Write the state to a file
    Save {
        /// The file to write
        file: PathBuf,
    },
    /// Make this member's folder from a file: every first member of the new cluster from the same one
    Restore {
        /// A file that `snapshot save` wrote
        file: PathBuf,
        /// The member's settings
        #[arg(long, env = "VIOLETGATE_SETTINGS")]
        settings: PathBuf,
    },
}

/// How long a member waits for a change before it answers that there is none.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// The timeout of each call that `watch` makes to a member is [`WATCH_WAIT`] plus this margin.
const WATCH_MARGIN: Duration = Duration::from_secs(10);

/// Runs `violetgate ctl`.
///
/// # Errors
///
/// The call failed.
pub fn run(ctl: &Ctl) -> Result<(), CtlError> {
    let client = ApiClient::new(&ctl.options)?;
    match &ctl.call {
        CtlCall::Get { key, stale } => get(&client, key, *stale),
        CtlCall::List { prefix, stale } => list(&client, prefix, *stale),
        CtlCall::Put {
            key,
            value,
            if_revision,
        } => {
            let value = value_or_input(value.as_deref())?;
            print_reply(client.call(&Method::PUT, &key_path(key, *if_revision), &value))
        }
        CtlCall::Delete { key, if_revision } => {
            print_reply(client.call(&Method::DELETE, &key_path(key, *if_revision), &[]))
        }
        CtlCall::Watch {
            prefix,
            after,
            count,
        } => watch(client, prefix, *after, *count),
        CtlCall::Cordon { engine } => {
            print_reply(client.call(&Method::PUT, &cordon_path(engine), &[]))
        }
        CtlCall::Uncordon { engine } => {
            print_reply(client.call(&Method::DELETE, &cordon_path(engine), &[]))
        }
        CtlCall::Quiesce { instance } => {
            print_reply(client.call(&Method::PUT, &drain_path(instance), &[]))
        }
        CtlCall::Resume { instance } => {
            print_reply(client.call(&Method::DELETE, &drain_path(instance), &[]))
        }
        CtlCall::Settings { call } => change_settings(&client, call),
        CtlCall::Members => list_members(&client),
        CtlCall::Progress => print_reply(client.get("/v1/fleet/progress")),
        CtlCall::Status => print_reply(client.get("/v1/cluster")),
        CtlCall::Snapshot {
            call: SnapshotCall::Save { file },
        } => save_snapshot(&client, file),
        CtlCall::Snapshot {
            call: SnapshotCall::Restore { file, settings },
        } => restore_snapshot(file, settings),
    }
}

fn print_reply(reply: Result<ApiReply, CtlError>) -> Result<(), CtlError> {
    print(&reply?.body);
    Ok(())
}

fn shown_number(number: Option<u64>) -> Option<String> {
    number.map(|number| number.to_string())
}

fn shown_stale(stale: bool) -> Option<String> {
    stale.then(|| "true".to_owned())
}

fn key_path(key: &str, if_revision: Option<u64>) -> String {
    let parameters = [
        ("key", Some(key.to_owned())),
        ("if_revision", shown_number(if_revision)),
    ];
    path_with_query("/v1/state", &parameters)
}

fn cordon_path(engine: &str) -> String {
    path_with_query("/v1/cordons", &[("engine", Some(engine.to_owned()))])
}

/// The path with the query that drains an instance. If `instance` has only digits, it is the id of
/// a member, otherwise the name of a subscriber.
fn drain_path(instance: &str) -> String {
    let is_member = instance.bytes().all(|byte| byte.is_ascii_digit());
    let parameter = if is_member { "member" } else { "front_end" };
    path_with_query("/v1/drains", &[(parameter, Some(instance.to_owned()))])
}

fn get(client: &ApiClient, key: &str, stale: bool) -> Result<(), CtlError> {
    let parameters = [("key", Some(key.to_owned())), ("stale", shown_stale(stale))];
    let reply = client.get(&path_with_query("/v1/state", &parameters))?;
    print(format!("{}\n", shown_value(&reply.body_json())).as_bytes());
    Ok(())
}

/// Prints all pages of a listing. Stops early if the reader has closed standard output.
fn list(client: &ApiClient, prefix: &str, stale: bool) -> Result<(), CtlError> {
    let parameters = [
        ("prefix", Some(prefix.to_owned())),
        ("stale", shown_stale(stale)),
    ];
    let mut path = path_with_query("/v1/state", &parameters);
    loop {
        let page = client.get(&path)?.body_json();
        for entry in field(&page, "entries").as_array().into_iter().flatten() {
            let key = field(entry, "key").as_str().unwrap_or_default();
            let (revision, value) = (field(entry, "revision"), shown_value(entry));
            if !print(format!("{key}\t{revision}\t{value}\n").as_bytes()) {
                return Ok(());
            }
        }
        match field(&page, "next").as_str() {
            Some(next) => path = next.to_owned(),
            None => return Ok(()),
        }
    }
}

/// The value from the command line, or all of standard input if none was given.
fn value_or_input(value: Option<&str>) -> Result<Vec<u8>, CtlError> {
    if let Some(value) = value {
        return Ok(value.as_bytes().to_vec());
    }
    let mut bytes = Vec::new();
    std::io::stdin()
        .read_to_end(&mut bytes)
        .map_err(CtlError::StandardInput)?;
    Ok(bytes)
}

fn change_settings(client: &ApiClient, call: &SettingsCall) -> Result<(), CtlError> {
    match call {
        SettingsCall::Show { version } => {
            let parameters = [("version", shown_number(*version))];
            print_reply(client.get(&path_with_query("/v1/settings", &parameters)))
        }
        SettingsCall::Apply { file, expect } => {
            let text = read_file(file)?;
            let parameters = [("expect", shown_number(*expect))];
            let path = path_with_query("/v1/settings", &parameters);
            print_reply(client.call(&Method::PUT, &path, &text))
        }
        SettingsCall::Versions => print_reply(client.get("/v1/settings/versions")),
        SettingsCall::Rollback { version } => {
            let parameters = [("version", shown_number(Some(*version)))];
            let path = path_with_query("/v1/settings/rollback", &parameters);
            print_reply(client.call(&Method::POST, &path, &[]))
        }
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>, CtlError> {
    std::fs::read(path).map_err(|error| file_error(path, error))
}

fn file_error(path: &Path, error: std::io::Error) -> CtlError {
    let path = path.to_owned();
    CtlError::File { path, error }
}

/// Saves the state to a file. An existing file is replaced only after the new one is written
/// completely.
fn save_snapshot(client: &ApiClient, file: &Path) -> Result<(), CtlError> {
    let state = client.get("/v1/snapshot")?.body;
    let new = file.with_extension("new");
    std::fs::write(&new, saved_state::encode(&state))
        .and_then(|()| std::fs::rename(&new, file))
        .map_err(|error| file_error(file, error))?;
    print(format!("{}: {} bytes\n", file.display(), state.len()).as_bytes());
    Ok(())
}

fn restore_snapshot(file: &Path, settings: &Path) -> Result<(), CtlError> {
    let state = saved_state::decode(&read_file(file)?);
    let state = state.map_err(|error| CtlError::SavedState {
        path: file.to_owned(),
        error,
    })?;
    restore_member(settings, state)
}

/// Prints changes until `count` of them are printed, a call fails or the reader has closed standard
/// output. Each call may be answered by another member.
fn watch(
    mut client: ApiClient,
    prefix: &str,
    after: Option<u64>,
    count: Option<u64>,
) -> Result<(), CtlError> {
    let (mut after, mut changes_left) = (after, count.unwrap_or(u64::MAX));
    while changes_left > 0 {
        client.set_timeout(WATCH_WAIT + WATCH_MARGIN);
        let wait_ms = after.map_or(0, |_| WATCH_WAIT.as_millis());
        let parameters = [
            ("prefix", Some(prefix.to_owned())),
            ("after", shown_number(after)),
            ("wait_ms", Some(wait_ms.to_string())),
        ];
        let page = client.get(&path_with_query("/v1/changes", &parameters))?;
        let page = page.body_json();
        for change in field(&page, "changes").as_array().into_iter().flatten() {
            if changes_left == 0 || !print(format!("{change}\n").as_bytes()) {
                return Ok(());
            }
            changes_left -= 1;
        }
        after = field(&page, "revision").as_u64().or(after);
    }
    Ok(())
}

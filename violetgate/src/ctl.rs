//! `violetgate ctl` and `violetgate members`: operators' calls to a cluster's API, and the making of members' folders.
//!
//! It keeps no state: what a call means is the cluster's. It must never guess at the outcome of a change: one that got no
//! answer is asked again under its one request id.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use ureq::http::{Method, Request};
use ureq::Agent;
use violetgate_cluster::{Beginning, Cluster};

use crate::daemon::{request_id, MemberStep};
use crate::settings;

/// The pause before the members are asked again.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest answer: a saved state.
const LONGEST: u64 = 1 << 30;

/// Which cluster, and how patiently.
#[derive(Debug, Clone, clap::Args)]
pub struct At {
    /// Where members' APIs are; each is asked in turn until one answers
    #[arg(
        long,
        global = true,
        env = "VIOLETGATE_AT",
        value_delimiter = ',',
        default_value = "127.0.0.1:7490"
    )]
    at: Vec<SocketAddr>,
    /// Seconds that a call may take
    #[arg(long, global = true, default_value_t = 5.0)]
    within: f64,
    /// The id of this call; the same call again under it changes nothing and tells the same
    #[arg(long, global = true)]
    request_id: Option<String>,
    /// Who you are, for the change log
    #[arg(long, global = true, env = "USER", default_value = "operator")]
    operator: String,
}

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
        /// The instance's member id
        member: u64,
    },
    /// Let an instance take clients again
    Resume {
        /// The instance's member id
        member: u64,
    },
    /// The agreed settings, which come before each instance's own file
    Settings {
        #[command(subcommand)]
        call: SettingsCall,
    },
    /// What a member is at
    Status,
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

/// An answer: its status, the version of settings that it names, and its body.
struct Told {
    status: u16,
    body: Vec<u8>,
}

impl Told {
    fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A part of an answer; null where there is none.
fn at<'a>(value: &'a Value, name: &str) -> &'a Value {
    value.get(name).unwrap_or(&Value::Null)
}

struct Client {
    at: At,
    agent: Agent,
    until: Instant,
    request: String,
}

/// Part of a path: pairs behind a question mark.
fn query(path: &str, pairs: &[(&str, Option<String>)]) -> String {
    let given: Vec<_> = pairs.iter().filter_map(|(name, value)| Some((name, value.as_ref()?))).collect();
    match serde_urlencoded::to_string(given) {
        Ok(text) if !text.is_empty() => format!("{path}?{text}"),
        _ => path.to_owned(),
    }
}

impl Client {
    fn new(at: &At) -> Result<Self, String> {
        let within = Duration::try_from_secs_f64(at.within).map_err(|e| format!("--within: {e}"))?;
        let mut client = Client {
            agent: Agent::new_with_defaults(),
            until: Instant::now() + within,
            request: at.request_id.clone().unwrap_or_else(request_id),
            at: at.clone(),
        };
        client.patient(within);
        Ok(client)
    }

    /// Begins another call, under an id of its own.
    fn patient(&mut self, within: Duration) {
        self.until = Instant::now() + within;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_secs(1)))
            .timeout_global(Some(within + Duration::from_secs(1)))
            .build();
        self.agent = config.new_agent();
    }

    fn once(&self, at: SocketAddr, method: &Method, path: &str, body: &[u8]) -> Result<Told, String> {
        let left = self.until.saturating_duration_since(Instant::now()).as_millis().max(100);
        let mark = if path.contains('?') { '&' } else { '?' };
        let request = Request::builder()
            .method(method.clone())
            .uri(format!("http://{at}{path}{mark}within_ms={left}"))
            .header("request-id", &self.request)
            .header("operator", &self.at.operator)
            .body(body.to_vec())
            .map_err(|e| e.to_string())?;
        let mut reply = self.agent.run(request).map_err(|e| e.to_string())?;
        let body = reply.body_mut().with_config().limit(LONGEST).read_to_vec().map_err(|e| e.to_string())?;
        Ok(Told { status: reply.status().as_u16(), body })
    }

    /// Asks one member after the other until one has an answer: each under the same id, so that nothing is done twice.
    fn call(&self, method: &Method, path: &str, body: &[u8]) -> Result<Told, String> {
        let mut last = "no address".to_owned();
        loop {
            for at in &self.at.at {
                match self.once(*at, method, path, body) {
                    // It can't tell, or it is cut off: another one may.
                    Ok(told) if matches!(told.status, 503 | 504) => {
                        last = format!("{at}: {}", detail(&told));
                    }
                    Ok(told) if told.status < 300 => return Ok(told),
                    Ok(told) => return Err(format!("{} ({})", detail(&told), told.status)),
                    Err(e) => last = format!("{at}: {e}"),
                }
            }
            if Instant::now() >= self.until {
                let id = &self.request;
                let again = if *method == Method::GET {
                    String::new()
                } else {
                    format!("; it may still come to be: --request-id {id} asks for the same again")
                };
                return Err(format!("nobody had an answer: {last}{again}"));
            }
            std::thread::sleep(PAUSE);
        }
    }

    fn get(&self, path: &str) -> Result<Told, String> {
        self.call(&Method::GET, path, &[])
    }

    fn step(&self, step: &MemberStep) -> Result<Told, String> {
        let body = serde_json::to_vec(step).map_err(|e| e.to_string())?;
        self.call(&Method::POST, "/v1/cluster/members", &body)
    }
}

fn detail(told: &Told) -> String {
    let json = told.json();
    at(&json, "detail")
        .as_str()
        .map_or_else(|| String::from_utf8_lossy(&told.body).into_owned(), str::to_owned)
}

/// Writes to standard output; a reader that has gone is no failure.
fn print(bytes: &[u8]) -> bool {
    let mut out = std::io::stdout().lock();
    out.write_all(bytes).and_then(|()| out.flush()).is_ok()
}

fn shown(value: &Value) -> String {
    at(value, "value").as_str().map_or_else(
        || format!("base64:{}", at(value, "value_base64").as_str().unwrap_or_default()),
        str::to_owned,
    )
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
            let told =
                client.get(&query("/v1/state", &[("key", Some(key.clone())), ("stale", stale(*old))]))?;
            print(format!("{}\n", shown(&told.json())).as_bytes());
            Ok(())
        }
        CtlCall::List { prefix, stale: old } => {
            let mut path = query("/v1/state", &[("prefix", Some(prefix.clone())), ("stale", stale(*old))]);
            loop {
                let page = client.get(&path)?.json();
                for entry in at(&page, "entries").as_array().into_iter().flatten() {
                    let key = at(entry, "key").as_str().unwrap_or_default();
                    if !print(format!("{key}\t{}\t{}\n", at(entry, "revision"), shown(entry)).as_bytes()) {
                        return Ok(());
                    }
                }
                match at(&page, "next").as_str() {
                    Some(next) => path = next.to_owned(),
                    None => return Ok(()),
                }
            }
        }
        CtlCall::Put { key, value, if_revision } => {
            let value = match value {
                Some(value) => value.clone().into_bytes(),
                None => {
                    let mut bytes = Vec::new();
                    std::io::stdin().read_to_end(&mut bytes).map_err(|e| format!("standard input: {e}"))?;
                    bytes
                }
            };
            let path =
                query("/v1/state", &[("key", Some(key.clone())), ("if_revision", number(if_revision))]);
            done(client.call(&Method::PUT, &path, &value)?)
        }
        CtlCall::Delete { key, if_revision } => {
            let path =
                query("/v1/state", &[("key", Some(key.clone())), ("if_revision", number(if_revision))]);
            done(client.call(&Method::DELETE, &path, &[])?)
        }
        CtlCall::Watch { prefix, after, count } => watch(client, prefix, *after, *count),
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
        CtlCall::Quiesce { member } => done(client.call(
            &Method::PUT,
            &query("/v1/drains", &[("member", number(&Some(*member)))]),
            &[],
        )?),
        CtlCall::Resume { member } => done(client.call(
            &Method::DELETE,
            &query("/v1/drains", &[("member", number(&Some(*member)))]),
            &[],
        )?),
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
                let path = query("/v1/settings/rollback", &[("version", number(&Some(*version)))]);
                done(client.call(&Method::POST, &path, &[])?)
            }
        },
        CtlCall::Members => list(&client),
        CtlCall::Status => done(client.get("/v1/cluster")?),
        CtlCall::Snapshot { call: SnapshotCall::Save { file } } => {
            let told = client.get("/v1/snapshot")?;
            let aside = file.with_extension("new");
            let write =
                std::fs::write(&aside, sealed(&told.body)).and_then(|()| std::fs::rename(&aside, file));
            write.map_err(|e| format!("{}: {e}", file.display()))?;
            print(format!("{}: {} bytes\n", file.display(), told.body.len()).as_bytes());
            Ok(())
        }
        CtlCall::Snapshot { call: SnapshotCall::Restore { file, settings } } => {
            let state = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
            let state = unsealed(&state).map_err(|e| format!("{}: {e}", file.display()))?;
            begin(settings, false, state)
        }
    }
}

/// Prints changes for ever, from wherever a member has them.
fn watch(mut client: Client, prefix: &str, after: Option<u64>, count: Option<u64>) -> Result<(), String> {
    let wait = Duration::from_secs(20);
    let (mut after, mut left) = (after, count.unwrap_or(u64::MAX));
    while left > 0 {
        client.patient(wait + Duration::from_secs(10));
        let pairs = [
            ("prefix", Some(prefix.to_owned())),
            ("after", after.map(|a| a.to_string())),
            ("wait_ms", Some(if after.is_some() { wait.as_millis() } else { 0 }.to_string())),
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

/// What a file with a saved state begins with; then come a checksum and the state.
const SEAL: &[u8; 8] = b"VGSTATE1";

fn sealed(state: &[u8]) -> Vec<u8> {
    [SEAL, crc32fast::hash(state).to_le_bytes().as_slice(), state].concat()
}

fn unsealed(bytes: &[u8]) -> Result<Vec<u8>, &'static str> {
    let rest = bytes.strip_prefix(SEAL).ok_or("this is no saved state")?;
    let (sum, state) = rest.split_first_chunk().ok_or("this saved state is cut short")?;
    if crc32fast::hash(state) != u32::from_le_bytes(*sum) {
        return Err("this saved state is spoilt: its checksum is another one");
    }
    Ok(state.to_vec())
}

/// Makes a member's folder.
fn begin(file: &Path, join: bool, state: Vec<u8>) -> Result<(), String> {
    let settings = settings::read(Some(file))?;
    let given = settings.cluster.ok_or_else(|| format!("{}: there is no `cluster` block", file.display()))?;
    if given.role == settings::ClusterRole::Subscriber {
        return Err(format!("{}: `cluster.role`: a subscriber has no folder", file.display()));
    }
    let mut born = [0; 8];
    getrandom::fill(&mut born).map_err(|e| format!("no random numbers: {e}"))?;
    let members = if join { Vec::new() } else { given.addresses().into_keys().collect() };
    let from = Beginning { members, state };
    Cluster::begin(&given.name, given.id, &given.folder, u64::from_be_bytes(born), from)?;
    let how = if join { "joins" } else { "is one of the first members of" };
    let place = given.folder.display();
    print(format!("{place}: member {} {how} cluster {}\n", given.id, given.name).as_bytes());
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
        MembersCall::Add { id, listen, api } => MemberStep::Add { id: *id, listen: *listen, api: *api },
        MembersCall::Promote { id } => MemberStep::Promote(*id),
        MembersCall::Remove { id } => MemberStep::Remove(*id),
        MembersCall::Transfer { id } => MemberStep::Transfer(*id),
        MembersCall::Replace { old, id, listen, api } => {
            let status = client.get("/v1/cluster")?.json();
            let all = at(&status, "members").as_array().cloned().unwrap_or_default();
            if !all.iter().any(|m| *at(m, "id") == json!(old)) {
                return Err(format!("member {old} does not belong to the cluster"));
            }
            // A second run goes on where the first one ended.
            if !all.iter().any(|m| *at(m, "id") == json!(id)) {
                client.step(&MemberStep::Add { id: *id, listen: *listen, api: *api })?;
                print(format!("member {id} learns; waiting until it has caught up\n").as_bytes());
            }
            let until = Instant::now() + Duration::from_secs(600);
            loop {
                client.patient(Duration::from_secs(5));
                let status = client.get("/v1/cluster")?.json();
                let all = at(&status, "members").as_array().cloned().unwrap_or_default();
                if all.iter().any(|m| *at(m, "id") == json!(id) && *at(m, "voter") == json!(true)) {
                    break;
                }
                match client.step(&MemberStep::Promote(*id)) {
                    Err(e) if Instant::now() > until => return Err(e),
                    _ => std::thread::sleep(PAUSE * 5),
                }
            }
            client.patient(Duration::from_secs(30));
            MemberStep::Remove(*old)
        }
    };
    client.step(&step)?;
    list(&client)
}

fn list(client: &Client) -> Result<(), String> {
    let status = client.get("/v1/cluster")?.json();
    let text = |v: &Value| v.as_str().map_or_else(|| "-".to_owned(), str::to_owned);
    let mut out = format!("{:<6} {:<8} {:<22} {:<22}\n", "id", "role", "listen", "api");
    for member in at(&status, "members").as_array().into_iter().flatten() {
        let role = match (at(member, "id") == at(&status, "leader"), *at(member, "voter") == json!(true)) {
            (true, _) => "leader",
            (false, true) => "voter",
            (false, false) => "learner",
        };
        let (listen, api) = (text(at(member, "listen")), text(at(member, "api")));
        out += &format!("{:<6} {role:<8} {listen:<22} {api:<22}\n", at(member, "id").to_string());
    }
    print(out.as_bytes());
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A saved state is believed whole or not at all.
    #[test]
    fn a_saved_state_is_believed_whole_or_not_at_all() {
        let file = sealed(b"some state");
        assert_eq!(unsealed(&file), Ok(b"some state".to_vec()));
        for cut in 0..file.len() {
            assert!(file.get(..cut).is_some_and(|part| unsealed(part).is_err()), "{cut}");
        }
        for at in 0..file.len() {
            let mut bent = file.clone();
            bent.iter_mut().skip(at).take(1).for_each(|b| *b ^= 1);
            assert!(unsealed(&bent).is_err(), "{at}");
        }
    }
}

//! What the platform states at the start of the program: environment variables and one JSON file.

use std::env::VarError;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;
use violetgate_policy::Settings;

const DEFAULT_MAX_SOCKETS: usize = 1024;
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;
const DEFAULT_IDLE_CLOSE_S: f64 = 30.0;
const DEFAULT_STREAMS_PER_CONNECTION: usize = 100;
/// In place of a span that is too long to be one.
const FALLBACK_SPAN: Duration = Duration::from_secs(1);
const MICROS_PER_SECOND: f64 = 1e6;

/// Why the program's configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The variable that names the file is not set.
    #[error("PROXY_CONFIG: {0}")]
    Variable(#[from] VarError),
    /// The file can't be read.
    #[error("PROXY_CONFIG {path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        error: std::io::Error,
    },
    /// The file's text can't be used.
    #[error("PROXY_CONFIG {path}: {error}")]
    Text {
        /// The file.
        path: String,
        /// Why.
        error: ConfigTextError,
    },
}

/// What is wrong with the text of a configuration; the field at fault is named.
#[derive(Debug, Error)]
pub enum ConfigTextError {
    /// It is no JSON, or a field has another type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A field that must be given is not.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// A field is no address.
    #[error("`{field}`: {text:?}: {error}")]
    Address {
        /// The field.
        field: &'static str,
        /// What it holds.
        text: String,
        /// Why that is no address.
        error: AddrParseError,
    },
    /// Clients and operators would connect to one address.
    #[error("`management`: {0} is where clients connect")]
    SharedAddress(SocketAddr),
    /// The seed is no hexadecimal number.
    #[error("`seed`: {0}")]
    Seed(ParseIntError),
    /// The settings of the decisions can't be used.
    #[error("`settings`: {0}")]
    Settings(String),
}

/// All that the platform states at the start.
#[derive(Debug)]
pub struct Config {
    /// This gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators connect, if anywhere.
    pub management: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// File descriptors that this process may hold.
    pub max_sockets: usize,
    /// The address of the event bus.
    pub bus: SocketAddr,
    /// The events of the engine list that are known at the start.
    pub initial_events: InitialEvents,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The names by which the protocols call what the decisions number.
    pub names: NameTable,
    /// Limits of engine connections.
    pub upstream: UpstreamLimits,
}

/// Events of the engine list that are known at the start.
#[derive(Debug, Deserialize)]
pub struct InitialEvents {
    /// The offset of the last of them.
    #[serde(rename = "offset")]
    pub last_offset: u64,
    /// The events, in the bus's own form.
    #[serde(rename = "batch", default)]
    pub events: Vec<Value>,
}

/// A class of requests, as clients name it.
#[derive(Debug, Clone)]
pub struct ClassName {
    /// The name.
    pub name: String,
    /// Whether its requests carry an idempotency key.
    pub takes_idempotency_key: bool,
}

/// Names by number.
#[derive(Debug, Clone, Default)]
pub struct NameTable {
    /// Classes.
    pub classes: Vec<ClassName>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of engine.
    pub kinds: Vec<String>,
}

/// Limits of engine connections.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamLimits {
    /// How long a connection may take to come up.
    pub connect_timeout: Duration,
    /// How long an engine allows an idle connection.
    pub idle_close: Duration,
    /// How many requests a connection carries at a time.
    pub streams_per_connection: usize,
    /// Whether answers report what they cost.
    pub reports_cost: bool,
}

#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    management: Option<String>,
    seed: String,
    #[serde(default)]
    limits: ProcessLimits,
    bus: String,
    known: InitialEvents,
    settings: Value,
}

#[derive(Deserialize, Default)]
struct ProcessLimits {
    sockets: Option<usize>,
}

/// The part of the settings that the sockets need and the decisions do not.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct SocketSettings {
    classes: Vec<NamedClass>,
    realms: Vec<NamedClass>,
    localities: Vec<String>,
    kinds: Vec<String>,
    limits: SocketLimits,
    domain: DomainSettings,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct NamedClass {
    name: String,
    effect: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct SocketLimits {
    #[serde(rename = "connect-timeout")]
    connect_timeout_s: Option<f64>,
    #[serde(rename = "idle-close")]
    idle_close_s: Option<f64>,
    streams_per_conn: Option<usize>,
    #[serde(rename = "max-retry-after")]
    max_retry_after_s: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct DomainSettings {
    #[serde(rename = "tells-cost")]
    reports_cost: bool,
}

/// What the environment states, with precedence over the file.
#[derive(Debug, Default)]
pub struct Overrides {
    /// Where clients connect.
    pub listen: Option<String>,
    /// Where operators connect; empty: nowhere.
    pub management: Option<String>,
    /// The gateway's name.
    pub name: Option<String>,
}

impl Overrides {
    fn from_env() -> Self {
        let variable = |name| std::env::var(name).ok();
        Overrides {
            listen: variable("PROXY_LISTEN"),
            management: variable("PROXY_MANAGEMENT"),
            name: variable("PROXY_NAME"),
        }
    }
}

impl Config {
    /// Reads the environment and the file that it names.
    ///
    /// # Errors
    ///
    /// Something is missing or can't be used; the error names it.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var("PROXY_CONFIG")?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => return Err(ConfigError::Unreadable { path, error }),
        };
        Self::parse(&text, Overrides::from_env()).map_err(|error| ConfigError::Text { path, error })
    }

    /// Reads the file's text; `overrides` come before its own addresses and name.
    ///
    /// # Errors
    ///
    /// Something is missing or can't be used; the error names the field.
    pub fn parse(text: &str, overrides: Overrides) -> Result<Self, ConfigTextError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        let listen = overrides.listen.or(file.listen);
        let listen = listen.ok_or(ConfigTextError::Missing("listen"))?;
        let listen = parse_address("listen", &listen)?;
        let management = overrides.management.or(file.management);
        let management = management
            .filter(|address| !address.is_empty())
            .map(|address| parse_address("management", &address))
            .transpose()?;
        // Both listeners share their ports with another process, and so they would with each other.
        if management == Some(listen) {
            return Err(ConfigTextError::SharedAddress(listen));
        }
        let settings = violetgate_policy::wire::settings_from_json(&file.settings)
            .map_err(|error| ConfigTextError::Settings(error.to_string()))?;
        let own = SocketSettings::deserialize(&file.settings)
            .map_err(|error| ConfigTextError::Settings(error.to_string()))?;
        Ok(Config {
            name: overrides.name.unwrap_or(file.name),
            listen,
            management,
            seed: u64::from_str_radix(&file.seed, 16).map_err(ConfigTextError::Seed)?,
            max_sockets: file.limits.sockets.unwrap_or(DEFAULT_MAX_SOCKETS),
            bus: parse_address("bus", &file.bus)?,
            initial_events: file.known,
            settings: with_max_retry_after(settings, &own.limits),
            upstream: own.upstream_limits(),
            names: own.into_name_table(),
        })
    }
}

/// The simulator's clients get no retry-after where the settings say so, but an error message on a
/// socket can always carry one, so the decisions may name it here.
fn with_max_retry_after(mut settings: Settings, limits: &SocketLimits) -> Settings {
    let own = limits.max_retry_after_s.filter(|seconds| *seconds > 0.0);
    let own = own.map(|seconds| (seconds * MICROS_PER_SECOND) as u64);
    settings.max_retry_after = settings.max_retry_after.or(own);
    settings
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, ConfigTextError> {
    text.parse().map_err(|error| ConfigTextError::Address {
        field,
        text: text.to_owned(),
        error,
    })
}

/// A span in seconds; the default stands for one that is not above 0.
fn span_or_default(seconds: Option<f64>, default: f64) -> Duration {
    let seconds = seconds.filter(|seconds| *seconds > 0.0).unwrap_or(default);
    Duration::try_from_secs_f64(seconds).unwrap_or(FALLBACK_SPAN)
}

impl SocketSettings {
    fn upstream_limits(&self) -> UpstreamLimits {
        let limits = &self.limits;
        UpstreamLimits {
            connect_timeout: span_or_default(limits.connect_timeout_s, DEFAULT_CONNECT_TIMEOUT_S),
            idle_close: span_or_default(limits.idle_close_s, DEFAULT_IDLE_CLOSE_S),
            streams_per_connection: limits
                .streams_per_conn
                .unwrap_or(DEFAULT_STREAMS_PER_CONNECTION)
                .max(1),
            reports_cost: self.domain.reports_cost,
        }
    }

    fn into_name_table(self) -> NameTable {
        let class = |class: NamedClass| ClassName {
            takes_idempotency_key: class.effect == "deduplicated",
            name: class.name,
        };
        NameTable {
            classes: self.classes.into_iter().map(class).collect(),
            tenants: self.realms.into_iter().map(|realm| realm.name).collect(),
            zones: self.localities,
            kinds: self.kinds,
        }
    }
}

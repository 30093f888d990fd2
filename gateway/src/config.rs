//! The platform's configuration, which is read at the start of the program and again at SIGHUP:
//! environment variables and one JSON file.

use std::env::VarError;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;
use violetgate_policy::Settings;

const DEFAULT_MAX_SOCKETS: usize = 1024;
const DEFAULT_MEMORY_MB: u64 = 192;
const BYTES_PER_MB: u64 = 1_000_000;
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;
const DEFAULT_IDLE_CLOSE_S: f64 = 30.0;
const DEFAULT_STREAMS_PER_CONNECTION: usize = 100;
/// The time used instead of a configured number of seconds that is too large for a [`Duration`].
const FALLBACK_SPAN: Duration = Duration::from_secs(1);
const MICROS_PER_SECOND: f64 = 1e6;

/// An error in the platform's configuration, or in finding or reading it.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The variable that names the file, `PROXY_CONFIG`, is not set or is not Unicode.
    #[error("PROXY_CONFIG: {0}")]
    Variable(#[from] VarError),
    /// The file can't be read.
    #[error("PROXY_CONFIG {path}: {error}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error of the read.
        error: std::io::Error,
    },
    /// The file's text is invalid.
    #[error("PROXY_CONFIG {path}: {error}")]
    Text {
        /// The path of the file.
        path: String,
        /// The error in its text.
        error: ConfigTextError,
    },
}

/// An error in the text of the configuration file. Its message names the field.
#[derive(Debug, Error)]
pub enum ConfigTextError {
    /// The text is not JSON, or a field has the wrong type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A required field is missing.
    #[error("`{0}` is missing")]
    Missing(&'static str),
    /// A field does not hold an address.
    #[error("`{field}`: {text:?}: {error}")]
    Address {
        /// The name of the field.
        field: &'static str,
        /// The text that it holds.
        text: String,
        /// The error of the parse.
        error: AddrParseError,
    },
    /// `management` is the same address as `listen`.
    #[error("`management`: {0} is where clients connect")]
    SharedAddress(SocketAddr),
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("`seed`: {0}")]
    Seed(ParseIntError),
    /// The settings of the decisions are invalid.
    #[error("`settings`: {0}")]
    Settings(String),
}

/// The configuration that the platform gives to a gateway.
#[derive(Debug)]
pub struct Config {
    /// This gateway's name.
    pub name: String,
    /// The address on which PostgreSQL clients connect.
    pub listen: SocketAddr,
    /// The address on which operators connect; `None` disables the management listener.
    pub management: Option<SocketAddr>,
    /// The seed of this gateway's random number generators.
    pub seed: u64,
    /// The maximum number of file descriptors that this process may hold.
    pub max_sockets: usize,
    /// The maximum resident memory of this process in bytes. During an upgrade, the two processes
    /// share it.
    pub max_memory_bytes: u64,
    /// The address of the event bus.
    pub bus: SocketAddr,
    /// The events that build the initial engine list. The event bus is followed from the last one.
    pub initial_events: InitialEvents,
    /// The settings of the decisions.
    pub settings: Settings,
    /// The names of classes, tenants, zones and engine kinds. The decision module uses numbers.
    pub names: NameTable,
    /// Limits of engine connections.
    pub upstream: UpstreamLimits,
}

/// The events that build the initial engine list. The event bus is followed from the last one.
#[derive(Debug, Deserialize)]
pub struct InitialEvents {
    /// The offset of the last event on the bus; the bus is followed from there.
    #[serde(rename = "offset")]
    pub last_offset: u64,
    /// The events, in the format of the bus.
    #[serde(rename = "batch", default)]
    pub events: Vec<Value>,
}

/// A class of requests, by the name that clients use.
#[derive(Debug, Clone)]
pub struct ClassName {
    /// The name that requests use.
    pub name: String,
    /// Whether requests of this class take an idempotency key.
    pub takes_idempotency_key: bool,
}

/// The names of classes, tenants, zones and engine kinds. The decision module uses their indexes in
/// these lists instead.
#[derive(Debug, Clone, Default)]
pub struct NameTable {
    /// The classes of requests.
    pub classes: Vec<ClassName>,
    /// The names of tenants.
    pub tenants: Vec<String>,
    /// The names of zones.
    pub zones: Vec<String>,
    /// The names of engine kinds.
    pub kinds: Vec<String>,
}

/// Limits of engine connections.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamLimits {
    /// The maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// The time after which an engine closes an idle connection.
    pub idle_close: Duration,
    /// The maximum number of concurrent requests on a connection, at least 1.
    pub streams_per_connection: usize,
    /// Whether engines report the cost of a query in its answer.
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
    memory_mb: Option<u64>,
}

impl ProcessLimits {
    fn max_memory_bytes(&self) -> u64 {
        let memory_mb = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        memory_mb.saturating_mul(BYTES_PER_MB)
    }
}

/// The fields of `settings` that the gateway uses itself. The decision module reads the `settings`
/// field separately.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct GatewayFields {
    classes: Vec<NamedClass>,
    realms: Vec<NamedClass>,
    localities: Vec<String>,
    kinds: Vec<String>,
    limits: GatewayLimits,
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
struct GatewayLimits {
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

/// Values of environment variables that take precedence over the configuration file.
#[derive(Debug, Default)]
pub struct Overrides {
    /// `PROXY_LISTEN`: the address on which PostgreSQL clients connect.
    pub listen: Option<String>,
    /// `PROXY_MANAGEMENT`: the address on which operators connect. An empty text disables the
    /// management listener.
    pub management: Option<String>,
    /// `PROXY_NAME`: the gateway's name.
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
    /// Reads the environment variables and the file that `PROXY_CONFIG` names.
    ///
    /// # Errors
    ///
    /// Fails if the variable, the file or a field is missing or invalid; the error names it.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var("PROXY_CONFIG")?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => return Err(ConfigError::Unreadable { path, error }),
        };
        Self::parse(&text, Overrides::from_env()).map_err(|error| ConfigError::Text { path, error })
    }

    /// Parses the file's text. The addresses and the name in `overrides` replace those of the file.
    ///
    /// # Errors
    ///
    /// Fails if a field is missing or invalid; the error names it.
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
        // Listeners share their ports, so that a second process can listen beside this one during
        // an upgrade. For this reason binding both listeners to one address would not fail.
        if management == Some(listen) {
            return Err(ConfigTextError::SharedAddress(listen));
        }
        let settings = violetgate_policy::wire::settings_from_json(&file.settings)
            .map_err(|error| ConfigTextError::Settings(error.to_string()))?;
        let own = GatewayFields::deserialize(&file.settings)
            .map_err(|error| ConfigTextError::Settings(error.to_string()))?;
        Ok(Config {
            name: overrides.name.unwrap_or(file.name),
            listen,
            management,
            seed: u64::from_str_radix(&file.seed, 16).map_err(ConfigTextError::Seed)?,
            max_sockets: file.limits.sockets.unwrap_or(DEFAULT_MAX_SOCKETS),
            max_memory_bytes: file.limits.max_memory_bytes(),
            bus: parse_address("bus", &file.bus)?,
            initial_events: file.known,
            settings: with_max_retry_after(settings, &own.limits),
            upstream: own.upstream_limits(),
            names: own.into_name_table(),
        })
    }
}

/// Sets the maximum retry-after to the configured value if the decision module's settings have
/// none. They have none if the configuration says that clients can't receive a retry-after, as some
/// clients of the simulator can't. Real clients always can: error messages have a field for it.
fn with_max_retry_after(mut settings: Settings, limits: &GatewayLimits) -> Settings {
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

/// Converts a number of seconds to a duration. If it is missing or not above 0, `default` is used.
fn span_or_default(seconds: Option<f64>, default: f64) -> Duration {
    let seconds = seconds.filter(|seconds| *seconds > 0.0).unwrap_or(default);
    Duration::try_from_secs_f64(seconds).unwrap_or(FALLBACK_SPAN)
}

impl GatewayFields {
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

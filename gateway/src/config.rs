//! What the program is told at its start: environment variables and one JSON file.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use violetgate_policy::Settings;

/// All that the program is told at its start.
#[derive(Debug)]
pub struct Config {
    /// This front end's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub management: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// File descriptors that this process may hold.
    pub sockets: usize,
    /// The event bus.
    pub bus: SocketAddr,
    /// The events of the start, and the number of the last of them.
    pub known: (u64, Vec<Value>),
    /// The settings of the decisions.
    pub settings: Settings,
    /// The names by which the protocols call what the decisions number.
    pub names: NameTable,
    /// Limits of engine connections.
    pub link: Link,
}

/// Names by number.
#[derive(Debug, Clone, Default)]
pub struct NameTable {
    /// Classes, each with whether its requests carry an idempotency key.
    pub classes: Vec<(String, bool)>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of engine.
    pub kinds: Vec<String>,
}

/// Limits of engine connections.
#[derive(Debug, Clone, Copy)]
pub struct Link {
    /// How long one may take to come up.
    pub connect_timeout: Duration,
    /// How long an engine leaves an idle one open.
    pub idle_close: Duration,
    /// How many requests one carries at a time.
    pub streams: usize,
    /// Answers tell what they cost.
    pub tells_cost: bool,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    management: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    bus: String,
    known: Known,
    settings: Value,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
}

#[derive(Deserialize)]
struct Known {
    offset: u64,
    #[serde(default)]
    batch: Vec<Value>,
}

/// The part of the settings that the sockets need and the decisions do not.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct SocketSettings {
    classes: Vec<Named>,
    realms: Vec<Named>,
    localities: Vec<String>,
    kinds: Vec<String>,
    limits: SocketLimits,
    domain: Domain,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Named {
    name: String,
    effect: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct SocketLimits {
    connect_timeout: Option<f64>,
    idle_close: Option<f64>,
    streams_per_conn: Option<usize>,
    max_retry_after: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Domain {
    tells_cost: bool,
}

impl Config {
    /// Reads the environment and the file that it names.
    ///
    /// # Errors
    ///
    /// Something is missing or can't be used; the text says what.
    pub fn from_env() -> Result<Self, String> {
        let path = std::env::var("PROXY_CONFIG").map_err(|e| format!("PROXY_CONFIG: {e}"))?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("PROXY_CONFIG {path}: {e}"))?;
        let listen = std::env::var("PROXY_LISTEN").ok();
        let management = std::env::var("PROXY_MANAGEMENT").ok();
        let name = std::env::var("PROXY_NAME").ok();
        Self::parse(&text, listen, management, name)
            .map_err(|e| format!("PROXY_CONFIG {path}: {e}"))
    }

    /// Reads the file's text; the environment's addresses and name come before its own.
    ///
    /// # Errors
    ///
    /// Something is missing or can't be used; the text says what.
    pub fn parse(
        text: &str,
        listen: Option<String>,
        management: Option<String>,
        name: Option<String>,
    ) -> Result<Self, String> {
        let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let addr = |what: &str, text: &str| {
            text.parse::<SocketAddr>()
                .map_err(|e| format!("`{what}`: {text:?}: {e}"))
        };
        let listen = addr(
            "listen",
            &listen.or(file.listen).ok_or("`listen` is missing")?,
        )?;
        let management = management.or(file.management).filter(|a| !a.is_empty());
        let management = management.map(|a| addr("management", &a)).transpose()?;
        // Both listeners share their ports with another process, and so they would with each other.
        if management == Some(listen) {
            return Err(format!("`management`: {listen} is where clients connect"));
        }
        let mut settings = violetgate_policy::wire::settings_from_json(&file.settings)
            .map_err(|e| format!("`settings`: {e}"))?;
        let own =
            SocketSettings::deserialize(&file.settings).map_err(|e| format!("`settings`: {e}"))?;
        let span = |s: Option<f64>, default: f64| {
            Duration::try_from_secs_f64(s.filter(|s| *s > 0.0).unwrap_or(default))
                .unwrap_or(Duration::from_secs(1))
        };
        // The simulator's clients get no retry-after where the settings say so, but an error message on a
        // socket can always carry one, so the module may name it here.
        if settings.max_retry_after.is_none() {
            settings.max_retry_after = own
                .limits
                .max_retry_after
                .filter(|s| *s > 0.0)
                .map(|s| (s * 1e6) as u64);
        }
        Ok(Config {
            name: name.unwrap_or(file.name),
            listen,
            management,
            seed: u64::from_str_radix(&file.seed, 16).map_err(|e| format!("`seed`: {e}"))?,
            sockets: file.limits.sockets.unwrap_or(1024),
            bus: addr("bus", &file.bus)?,
            known: (file.known.offset, file.known.batch),
            settings,
            names: NameTable {
                classes: own
                    .classes
                    .into_iter()
                    .map(|c| (c.name, c.effect == "deduplicated"))
                    .collect(),
                tenants: own.realms.into_iter().map(|t| t.name).collect(),
                zones: own.localities,
                kinds: own.kinds,
            },
            link: Link {
                connect_timeout: span(own.limits.connect_timeout, 0.25),
                idle_close: span(own.limits.idle_close, 30.0),
                streams: own.limits.streams_per_conn.unwrap_or(100).max(1),
                tells_cost: own.domain.tells_cost,
            },
        })
    }
}

//! Measures client connections of the real gateway: memory, descriptors and CPU time of idle
//! connections, and the CPU time of a statement while they are open.

use std::net::TcpStream;
use std::time::Duration;

use violetgate_fake_upstreams::client::PostgresClient;
use violetgate_fake_upstreams::{FakeUpstreams, Profile};

use crate::error::ScaleError;
use crate::figures::{Figures, Options};
use crate::gateway_process::{reserve_address, ScaleGateway};
use crate::slope::{MeasuredRole, Slope};

const ROLE: MeasuredRole = MeasuredRole {
    name: "client_side",
    size_of: "connections",
    target: TARGET,
};
const SIZES: [usize; 6] = [100, 400, 800, 1_200, 1_700, 2_240];
const SHORT_SIZES: [usize; 3] = [20, 40, 60];
/// Client connections that a gateway has to carry: 17 million over 7,600 gateways.
const TARGET: f64 = 2_240.0;
const ENGINES: usize = 3;
/// The maximum number of descriptors that the gateway may hold besides those of clients.
const MAX_DESCRIPTORS_BESIDE_CLIENTS: f64 = 64.0;
/// The gateway's limit on descriptors; clients get half of them.
const SOCKET_LIMIT: u32 = 4_608;
/// The memory that a gateway's configuration grants it, in bytes.
const MEMORY_BUDGET_BYTES: f64 = 192.0 * 1024.0 * 1024.0;
/// The maximum CPU time of a statement: the time between two statements of one gateway at 1,842 a
/// second.
const STATEMENT_BUDGET_US: f64 = 543.0;
/// Connections that send statements in one measurement.
const ACTIVE: usize = 8;
const STATEMENTS_PER_CLIENT: usize = 150;
const SHORT_STATEMENTS_PER_CLIENT: usize = 10;
const IDLE_WINDOW: Duration = Duration::from_secs(2);
const SHORT_IDLE_WINDOW: Duration = Duration::from_millis(100);
/// How long the gateway gets to finish work for newly opened connections before it is measured.
const SETTLE_TIME: Duration = Duration::from_millis(300);
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

/// The gateway's costs at one number of connections.
struct Costs {
    resident_bytes: f64,
    descriptors: f64,
    idle_us_per_s: f64,
    statement_us: f64,
    served: usize,
}

/// Measures the gateway with a growing number of idle connections.
///
/// # Errors
///
/// Returns an error if the gateway or the fake engines can't be started, or if a connection is
/// refused.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), ScaleError> {
    let engines = FakeUpstreams::start(ENGINES, Profile::default())
        .map_err(ScaleError::io("start fake engines"))?;
    let gateway = start_gateway(&engines)?;
    let mut load = Load {
        statements_per_client: options.select(SHORT_STATEMENTS_PER_CLIENT, STATEMENTS_PER_CLIENT),
        next_request: 1,
    };
    let mut slopes = Slopes::default();
    let mut unserved = 0;
    let mut idle = Vec::new();
    // The first statements open the connections to engines. Their cost must not count as a cost of
    // idle clients.
    load.run(&gateway)?;
    for &size in options.select(&SHORT_SIZES[..], &SIZES[..]) {
        while idle.len() < size {
            idle.push(session(&gateway)?);
        }
        let costs = costs(&gateway, &mut load, options)?;
        unserved += ACTIVE * load.statements_per_client - costs.served;
        slopes.push(size, &costs);
        if options.short {
            let name = format!("client_side_descriptors_beside_{size}_clients");
            let beside = costs.descriptors - size as f64;
            figures.at_most(&name, beside, MAX_DESCRIPTORS_BESIDE_CLIENTS);
        }
    }
    figures.at_most("client_side_unserved_statements", unserved as f64, 0.0);
    if !options.short {
        slopes.record(figures);
    }
    Ok(())
}

fn start_gateway(engines: &FakeUpstreams) -> Result<ScaleGateway, ScaleError> {
    let listen = reserve_address()?;
    let mut config = engines.config(
        "scale",
        &listen.to_string(),
        &violetgate_fake_upstreams::settings(),
    );
    config["limits"]["sockets"] = SOCKET_LIMIT.into();
    ScaleGateway::start(listen, &config)
}

/// The slopes of each cost over the number of connections.
struct Slopes {
    memory: Slope,
    descriptors: Slope,
    idle: Slope,
    statement: Slope,
}

impl Default for Slopes {
    fn default() -> Self {
        Slopes {
            memory: ROLE.slope("memory", "bytes", Some(MEMORY_BUDGET_BYTES)),
            descriptors: ROLE.slope("descriptors", "count", Some(f64::from(SOCKET_LIMIT))),
            idle: ROLE.slope("idle", "us_per_s", None),
            statement: ROLE.slope("statement", "us", Some(STATEMENT_BUDGET_US)),
        }
    }
}

impl Slopes {
    fn push(&mut self, connections: usize, costs: &Costs) {
        let size = connections as f64;
        self.memory.push(size, costs.resident_bytes);
        self.descriptors.push(size, costs.descriptors);
        self.idle.push(size, costs.idle_us_per_s);
        self.statement.push(size, costs.statement_us);
    }

    fn record(&self, figures: &mut Figures) {
        let slopes = [&self.memory, &self.descriptors, &self.idle, &self.statement];
        slopes.into_iter().for_each(|slope| slope.record(figures));
    }
}

fn session(gateway: &ScaleGateway) -> Result<PostgresClient, ScaleError> {
    let connect = || PostgresClient::new(TcpStream::connect(gateway.listen)?, CLIENT_TIMEOUT);
    connect().map_err(ScaleError::io("open a client's session"))
}

fn costs(gateway: &ScaleGateway, load: &mut Load, options: &Options) -> Result<Costs, ScaleError> {
    std::thread::sleep(SETTLE_TIME);
    let window = options.select(SHORT_IDLE_WINDOW, IDLE_WINDOW);
    let before = gateway.usage()?;
    std::thread::sleep(window);
    let after = gateway.usage()?;
    let idle_us = after.cpu.saturating_sub(before.cpu).as_secs_f64() * 1e6 / window.as_secs_f64();
    let (statement_us, served) = load.run(gateway)?;
    Ok(Costs {
        resident_bytes: after.resident_bytes as f64,
        descriptors: after.descriptors as f64,
        idle_us_per_s: idle_us,
        statement_us,
        served,
    })
}

/// Sends statements on a few connections; each connection waits for an answer before it sends the
/// next statement.
struct Load {
    /// Statements that each connection sends in one run.
    statements_per_client: usize,
    /// The id of the next request. No id is used twice, as the gateway refuses the id of a request
    /// that is open or was open a moment ago.
    next_request: usize,
}

impl Load {
    /// Returns the gateway's CPU time per statement in microseconds, and the number of statements
    /// that were served.
    fn run(&mut self, gateway: &ScaleGateway) -> Result<(f64, usize), ScaleError> {
        let clients = (0..ACTIVE)
            .map(|_| session(gateway))
            .collect::<Result<Vec<_>, _>>()?;
        let (first, per_client) = (self.next_request, self.statements_per_client);
        self.next_request += ACTIVE * per_client;
        let before = gateway.usage()?;
        let served_by_client = std::thread::scope(|scope| {
            let starts = (first..).step_by(per_client);
            let threads: Vec<_> = starts
                .zip(clients)
                .map(|(start, client)| {
                    scope.spawn(move || send_statements(client, start..start + per_client))
                })
                .collect();
            threads
                .into_iter()
                .map(|thread| thread.join().ok()?.ok())
                .collect::<Option<Vec<_>>>()
        });
        let served: usize = served_by_client
            .ok_or(ScaleError::Thread("client"))?
            .into_iter()
            .sum();
        let used = gateway.usage()?.cpu.saturating_sub(before.cpu);
        Ok((used.as_secs_f64() * 1e6 / served.max(1) as f64, served))
    }
}

fn send_statements(
    mut client: PostgresClient,
    requests: std::ops::Range<usize>,
) -> std::io::Result<usize> {
    let mut served = 0;
    for request in requests {
        client.send(&format!(
            "/* method=lookup,rid={request:016x},budget=5000 */ SELECT rows=1 FROM sales_17.orders"
        ))?;
        served += usize::from(client.read()?.is_ok());
    }
    Ok(served)
}

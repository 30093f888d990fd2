//! Client connections of the real gateway: memory, descriptors and CPU time of idle ones, and
//! CPU time of a statement beside them.

use std::net::TcpStream;
use std::time::Duration;

use violetgate_fake_upstreams::client::PostgresClient;
use violetgate_fake_upstreams::{FakeUpstreams, Profile};

use crate::error::ScaleError;
use crate::figures::{Figures, Options};
use crate::gateway_process::{free_address, ScaleGateway};
use crate::slope::{Budget, Slope};

const ROLE: &str = "client_side";
const SIZES: [usize; 6] = [100, 400, 800, 1_200, 1_700, 2_240];
const SHORT_SIZES: [usize; 3] = [20, 40, 60];
/// Connections of a gateway that have to be carried: 17 million over 7,600.
const TARGET: f64 = 2_240.0;
const ENGINES: usize = 3;
/// Descriptors that the program may hold; clients get half of them.
const SOCKETS: u32 = 4_608;
/// The memory that a gateway's configuration grants it.
const MEMORY_BUDGET_BYTES: f64 = 192.0 * 1024.0 * 1024.0;
/// The time between two statements at 1,842 a second.
const STATEMENT_BUDGET_US: f64 = 543.0;
/// Connections that send statements, and statements of each.
const ACTIVE: usize = 8;
const STATEMENTS: usize = 150;
const SHORT_STATEMENTS: usize = 10;
const IDLE_WINDOW: Duration = Duration::from_secs(2);
const SHORT_IDLE_WINDOW: Duration = Duration::from_millis(100);
/// How long the program may leave what was opened unsettled.
const SETTLE_TIME: Duration = Duration::from_millis(300);
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Costs at one size.
struct Costs {
    resident_bytes: f64,
    descriptors: f64,
    idle_us_per_s: f64,
    statement_us: f64,
    served: usize,
}

/// Measures the program with more and more idle connections.
///
/// # Errors
///
/// The program or the fake engines can't be started, or a connection is refused.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), ScaleError> {
    let fleet = FakeUpstreams::start(ENGINES, Profile::default())
        .map_err(ScaleError::io("start stand-in engines"))?;
    let listen = free_address()?;
    let mut config = fleet.config(
        "scale",
        &listen.to_string(),
        &violetgate_fake_upstreams::settings(),
    );
    config["limits"]["sockets"] = SOCKETS.into();
    let gateway = ScaleGateway::start(listen, &config)?;
    let sizes = if options.short {
        &SHORT_SIZES[..]
    } else {
        &SIZES[..]
    };
    let mut load = Load {
        each: if options.short {
            SHORT_STATEMENTS
        } else {
            STATEMENTS
        },
        next: 1,
    };
    let (mut slopes, mut unserved) = (slopes(), 0);
    let mut idle = Vec::new();
    // The first statements open the connections to engines, which are no cost of idle clients.
    load.run(&gateway)?;
    for &size in sizes {
        while idle.len() < size {
            idle.push(session(&gateway)?);
        }
        let costs = costs(&gateway, &mut load, options)?;
        unserved += ACTIVE * load.each - costs.served;
        let values = [
            costs.resident_bytes,
            costs.descriptors,
            costs.idle_us_per_s,
            costs.statement_us,
        ];
        slopes
            .iter_mut()
            .zip(values)
            .for_each(|(slope, cost)| slope.push(size as f64, cost));
        if options.short {
            let beside = costs.descriptors - size as f64;
            figures.at_most(
                &format!("client_side_descriptors_beside_{size}_clients"),
                beside,
                64.0,
            );
        }
    }
    figures.at_most("client_side_unserved_statements", unserved as f64, 0.0);
    if !options.short {
        slopes.iter().for_each(|slope| slope.record(figures));
    }
    Ok(())
}

fn slopes() -> [Slope; 4] {
    let slope = |name, unit, budget: Option<f64>| Slope {
        role: ROLE,
        name,
        unit,
        size_of: "connections",
        budget: budget.map(|cost| Budget {
            cost,
            target: TARGET,
        }),
        points: Vec::new(),
    };
    [
        slope("memory", "bytes", Some(MEMORY_BUDGET_BYTES)),
        slope("descriptors", "count", Some(f64::from(SOCKETS))),
        slope("idle", "us_per_s", None),
        slope("statement", "us", Some(STATEMENT_BUDGET_US)),
    ]
}

fn session(gateway: &ScaleGateway) -> Result<PostgresClient, ScaleError> {
    let connect = || PostgresClient::new(TcpStream::connect(gateway.listen)?, CLIENT_TIMEOUT);
    connect().map_err(ScaleError::io("open a client's session"))
}

fn costs(gateway: &ScaleGateway, load: &mut Load, options: &Options) -> Result<Costs, ScaleError> {
    std::thread::sleep(SETTLE_TIME);
    let window = if options.short {
        SHORT_IDLE_WINDOW
    } else {
        IDLE_WINDOW
    };
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

/// Statements of a few connections, each sent once the one before is answered.
struct Load {
    /// Statements of one connection.
    each: usize,
    /// The next request's id: no id is used twice, as the program refuses an id that was just open.
    next: usize,
}

impl Load {
    /// CPU time a statement, and how many were served.
    fn run(&mut self, gateway: &ScaleGateway) -> Result<(f64, usize), ScaleError> {
        let clients = (0..ACTIVE)
            .map(|_| session(gateway))
            .collect::<Result<Vec<_>, _>>()?;
        let (first, each) = (self.next, self.each);
        self.next += ACTIVE * each;
        let before = gateway.usage()?;
        let served_by_client = std::thread::scope(|scope| {
            let starts = (first..).step_by(each);
            let threads: Vec<_> = starts
                .zip(clients)
                .map(|(start, client)| {
                    scope.spawn(move || send_statements(client, start..start + each))
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

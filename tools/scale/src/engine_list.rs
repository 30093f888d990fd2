//! The engine list over the event bus by the number of engines: bytes of a line, time and processor
//! time until the real program has applied it, its memory, and the longest full list that it
//! accepts.
//!
//! A scripted bus sends one event and then a number that is larger than it. The program answers
//! that by a new connection, in whose greeting stands the last event that it has applied: so
//! nothing has to be guessed from outside.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::error::ScaleError;
use crate::figures::{CapacityLimit, Figures, Options};
use crate::gateway_process::{free_address, ScaleGateway};
use crate::slope::{MeasuredRole, Slope};
use crate::usage::{least, median};

const ROLE: MeasuredRole = MeasuredRole {
    name: "engine_list",
    size_of: "engines",
    target: TARGET as f64,
};
const SIZES: [u32; 6] = [80, 300, 1_000, 2_500, 5_000, 7_600];
const SHORT_SIZES: [u32; 3] = [80, 300, 1_000];
/// Engines that have to be carried.
const TARGET: u32 = 12_000;
/// The longest line that the program takes: `MAX_LINE` in gateway/src/discovery.rs.
const LONGEST_LINE: f64 = 1_048_576.0;
/// How long the program may take to apply an event.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Full lists of one size, and patches, that are timed.
const REPEATS: usize = 3;
/// How often an event that was not applied is sent again before it counts as refused: the program
/// may have ended the connection by itself just then.
const MAX_ATTEMPTS: usize = 2;

/// Costs at one size.
struct Costs {
    line_bytes: f64,
    /// The time until a full list was applied.
    applied_ms: f64,
    /// CPU time of a full list and of a patch.
    full_list_us: f64,
    patch_us: f64,
    memory_bytes: f64,
}

/// Measures the program behind a scripted bus.
///
/// # Errors
///
/// The program can't be started or does not come to the bus.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), ScaleError> {
    let mut bus = Bus::start()?;
    let listen = free_address()?;
    let gateway = ScaleGateway::start(listen, &config(listen, &bus)?)?;
    let mut slopes = Slopes::default();
    for &engines in options.select(&SHORT_SIZES[..], &SIZES[..]) {
        let costs = bus.measure(&gateway, engines)?;
        slopes.push(engines, &costs);
        if options.short {
            let name = format!("engine_list_line_at_{engines}_bytes");
            figures.add(&name, costs.line_bytes);
        }
    }
    let target_line = full_list(bus.last_offset + 1, TARGET);
    let fits = bus.apply(&target_line)?.is_some();
    let target_line_bytes = full_list(1, TARGET).len();
    figures.add(
        &format!("engine_list_line_at_{TARGET}_bytes"),
        target_line_bytes,
    );
    figures.add(&format!("engine_list_{TARGET}_fit_a_line"), fits);
    if options.short {
        return Ok(());
    }
    slopes.record(figures);
    if !fits {
        add_largest_full_list(bus.largest_full_list()?, figures);
    }
    Ok(())
}

fn add_largest_full_list(largest: u32, figures: &mut Figures) {
    println!("engine_list: the largest whole list that the program takes has {largest} engines");
    figures.add("engine_list_largest_whole_list_engines", largest);
    figures.add_limit(CapacityLimit {
        name: "engine_list_whole_list".to_owned(),
        size: Some(f64::from(largest)),
        size_of: ROLE.size_of,
        target: ROLE.target,
    });
}

/// Each cost by the number of engines.
struct Slopes {
    line: Slope,
    applied: Slope,
    full_list_cpu: Slope,
    patch_cpu: Slope,
    memory: Slope,
}

impl Default for Slopes {
    fn default() -> Self {
        Slopes {
            line: ROLE.slope("line", "bytes", Some(LONGEST_LINE)),
            applied: ROLE.slope("whole_list_applied", "ms", None),
            full_list_cpu: ROLE.slope("whole_list_cpu", "us", None),
            patch_cpu: ROLE.slope("patch_cpu", "us", None),
            memory: ROLE.slope("memory", "bytes", None),
        }
    }
}

impl Slopes {
    fn push(&mut self, engines: u32, costs: &Costs) {
        let size = f64::from(engines);
        self.line.push(size, costs.line_bytes);
        self.applied.push(size, costs.applied_ms);
        self.full_list_cpu.push(size, costs.full_list_us);
        self.patch_cpu.push(size, costs.patch_us);
        self.memory.push(size, costs.memory_bytes);
    }

    fn record(&self, figures: &mut Figures) {
        let Slopes {
            line,
            applied,
            full_list_cpu,
            patch_cpu,
            memory,
        } = self;
        let slopes = [line, applied, full_list_cpu, patch_cpu, memory];
        slopes.into_iter().for_each(|slope| slope.record(figures));
    }
}

fn config(listen: SocketAddr, bus: &Bus) -> Result<serde_json::Value, ScaleError> {
    let address = bus
        .listener
        .local_addr()
        .map_err(ScaleError::io("address of a bus"))?;
    Ok(json!({
        "name": "scale", "listen": listen, "seed": "8c1f30d27a5be964", "limits": {"sockets": 1024},
        "bus": address.to_string(), "known": {"offset": 0, "batch": []},
        "settings": violetgate_fake_upstreams::settings(),
    }))
}

/// One engine in the bus's form; the address is on loopback, and nothing is ever sent to it here.
fn server(number: u32, state: &str) -> serde_json::Value {
    let [_, high, middle, low] = number.to_be_bytes();
    json!({
        "id": format!("engine-{number:05}"), "addr": format!("127.{high}.{middle}.{low}:5432"), "zone": "z",
        "kind": "k", "cell": 0, "state": state, "weight": 1, "started_ms": 0,
    })
}

fn event(offset: u64, full: bool, servers: &[serde_json::Value]) -> String {
    let topology = json!({"version": offset, "full": full, "servers": servers});
    format!("{}\n", json!({"offset": offset, "topology": topology}))
}

fn full_list(offset: u64, engines: u32) -> String {
    let servers: Vec<_> = (1..=engines)
        .map(|number| server(number, "in_service"))
        .collect();
    event(offset, true, &servers)
}

/// A bus with one follower; the test says what it announces.
struct Bus {
    listener: TcpListener,
    /// The connection that the follower has greeted on.
    follower: Option<TcpStream>,
    /// The last event that the follower has applied.
    last_offset: u64,
}

impl Bus {
    fn start() -> Result<Self, ScaleError> {
        let listener =
            TcpListener::bind("127.0.0.1:0").map_err(ScaleError::io("listen for a bus"))?;
        Ok(Bus {
            listener,
            follower: None,
            last_offset: 0,
        })
    }

    /// Measures the costs at one size.
    fn measure(&mut self, gateway: &ScaleGateway, engines: u32) -> Result<Costs, ScaleError> {
        let (mut applied_ms, mut full_list_us, mut patch_us) = (Vec::new(), Vec::new(), Vec::new());
        let mut bytes = 0;
        for _ in 0..REPEATS {
            let line = full_list(self.last_offset + 1, engines);
            bytes = line.len();
            let (took, cpu_us) = self.apply_timed(gateway, &line)?;
            applied_ms.push(took.as_secs_f64() * 1e3);
            full_list_us.push(cpu_us);
        }
        for repeat in 0..REPEATS {
            let state = if repeat % 2 == 0 {
                "terminating"
            } else {
                "in_service"
            };
            let line = event(self.last_offset + 1, false, &[server(engines / 2, state)]);
            patch_us.push(self.apply_timed(gateway, &line)?.1);
        }
        let memory = gateway.usage()?.resident_bytes as f64;
        Ok(Costs {
            line_bytes: bytes as f64,
            applied_ms: median(applied_ms),
            full_list_us: least(&full_list_us),
            patch_us: least(&patch_us),
            memory_bytes: memory,
        })
    }

    fn apply_timed(
        &mut self,
        gateway: &ScaleGateway,
        line: &str,
    ) -> Result<(Duration, f64), ScaleError> {
        let before = gateway.usage()?.cpu;
        let took = self.apply(line)?.ok_or(ScaleError::Bus(
            "did not apply an engine list that fits a line",
        ))?;
        let used = gateway.usage()?.cpu.saturating_sub(before);
        Ok((took, used.as_secs_f64() * 1e6))
    }

    /// Sends an event until it is applied; how long that took, or `None` where the follower refuses
    /// it.
    fn apply(&mut self, line: &str) -> Result<Option<Duration>, ScaleError> {
        for _ in 0..MAX_ATTEMPTS {
            let mut follower = match self.follower.take() {
                Some(follower) => follower,
                None => self.greeting()?.0,
            };
            let begun = Instant::now();
            send_and_wait(&mut follower, line, self.last_offset + 2);
            let took = begun.elapsed();
            let (next, last) = self.greeting()?;
            self.follower = Some(next);
            if last == self.last_offset + 1 {
                self.last_offset = last;
                return Ok(Some(took));
            }
        }
        Ok(None)
    }

    /// The next connection of the follower, and the event that it has applied last.
    fn greeting(&self) -> Result<(TcpStream, u64), ScaleError> {
        let failed = || ScaleError::io("accept the follower of a bus");
        let (stream, _) = self.listener.accept().map_err(failed())?;
        stream
            .set_read_timeout(Some(APPLY_TIMEOUT))
            .map_err(failed())?;
        let mut greeting = String::new();
        BufReader::new(&stream)
            .read_line(&mut greeting)
            .map_err(failed())?;
        let last = greeting
            .trim()
            .strip_prefix("from ")
            .and_then(|last| last.parse().ok());
        Ok((
            stream,
            last.ok_or(ScaleError::Bus("greeted the bus in an unknown form"))?,
        ))
    }

    /// The largest full list that is applied, between the largest size that was and the smallest
    /// that was not.
    fn largest_full_list(&mut self) -> Result<u32, ScaleError> {
        let mut applied = SIZES.last().copied().unwrap_or(1);
        let mut refused = TARGET;
        while refused - applied > 1 {
            let middle = applied.midpoint(refused);
            if self
                .apply(&full_list(self.last_offset + 1, middle))?
                .is_some()
            {
                applied = middle;
            } else {
                refused = middle;
            }
        }
        Ok(applied)
    }
}

/// Sends an event and a number past it, and waits until the follower ends the connection. It may do
/// so while it is still being written to.
fn send_and_wait(follower: &mut TcpStream, line: &str, past: u64) {
    let lines = format!("{line}{past}\n");
    if follower.write_all(lines.as_bytes()).is_ok() {
        let _ = follower.read(&mut [0; 1]);
    }
}

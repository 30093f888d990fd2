//! Measures the engine list over the event bus by the number of engines: the bytes of a line, the
//! time and CPU time until the real gateway has applied it, the gateway's memory, and the longest
//! full list that it accepts.

mod scripted_bus;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;

use crate::error::ScaleError;
use crate::figures::{CapacityLimit, Figures, Options};
use crate::gateway_process::{reserve_address, ScaleGateway};
use crate::slope::{MeasuredRole, Slope};
use crate::usage::{least, median};
use scripted_bus::{engine, event, full_list, ScriptedBus};

const ROLE: MeasuredRole = MeasuredRole {
    name: "engine_list",
    size_of: "engines",
    target: TARGET as f64,
};
const SIZES: [u32; 6] = [80, 300, 1_000, 2_500, 5_000, 7_600];
const SHORT_SIZES: [u32; 3] = [80, 300, 1_000];
/// Engines that a gateway has to support.
const TARGET: u32 = 12_000;
/// The longest line that the gateway accepts: `MAX_LINE_BYTES` in gateway/src/discovery/client.rs.
const MAX_LINE_BYTES: f64 = 1_048_576.0;
/// Full lists, and also patches, that are timed at each size.
const REPEATS: usize = 3;

/// The costs of the engine list at one number of engines.
struct Costs {
    line_bytes: f64,
    /// The time until a full list was applied, in milliseconds.
    applied_ms: f64,
    /// The gateway's CPU time for a full list, in microseconds.
    full_list_us: f64,
    /// The gateway's CPU time for a patch, in microseconds.
    patch_us: f64,
    memory_bytes: f64,
}

/// Measures the gateway while it follows a scripted bus.
///
/// # Errors
///
/// Returns an error if the gateway can't be started or does not follow the bus.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), ScaleError> {
    let mut bus = ScriptedBus::start()?;
    let listen = reserve_address()?;
    let gateway = ScaleGateway::start(listen, &config(listen, &bus)?)?;
    let mut slopes = Slopes::default();
    for &engines in options.select(&SHORT_SIZES[..], &SIZES[..]) {
        let costs = measure_size(&mut bus, &gateway, engines)?;
        slopes.push(engines, &costs);
        if options.short {
            let name = format!("engine_list_line_at_{engines}_bytes");
            figures.add(&name, costs.line_bytes);
        }
    }
    let target_line = full_list(bus.next_offset(), TARGET);
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
        add_largest_full_list(largest_full_list(&mut bus)?, figures);
    }
    Ok(())
}

fn add_largest_full_list(largest: u32, figures: &mut Figures) {
    println!("engine_list: the largest full list that the gateway accepts has {largest} engines");
    figures.add("engine_list_largest_whole_list_engines", largest);
    figures.add_limit(CapacityLimit {
        name: "engine_list_whole_list".to_owned(),
        size: Some(f64::from(largest)),
        size_of: ROLE.size_of,
        target: ROLE.target,
    });
}

/// The slopes of each cost over the number of engines.
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
            line: ROLE.slope("line", "bytes", Some(MAX_LINE_BYTES)),
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

fn config(listen: SocketAddr, bus: &ScriptedBus) -> Result<serde_json::Value, ScaleError> {
    let address = bus.address()?;
    Ok(json!({
        "name": "scale", "listen": listen, "seed": "8c1f30d27a5be964", "limits": {"sockets": 1024},
        "bus": address.to_string(), "known": {"offset": 0, "batch": []},
        "settings": violetgate_fake_upstreams::settings(),
    }))
}

/// The time and the gateway's CPU time until a line was applied.
struct Applied {
    took: Duration,
    cpu_us: f64,
}

/// Measures the costs at one number of engines.
fn measure_size(
    bus: &mut ScriptedBus,
    gateway: &ScaleGateway,
    engines: u32,
) -> Result<Costs, ScaleError> {
    let (mut applied_ms, mut full_list_us, mut patch_us) = (Vec::new(), Vec::new(), Vec::new());
    let mut bytes = 0;
    for _ in 0..REPEATS {
        let line = full_list(bus.next_offset(), engines);
        bytes = line.len();
        let applied = apply_timed(bus, gateway, &line)?;
        applied_ms.push(applied.took.as_secs_f64() * 1e3);
        full_list_us.push(applied.cpu_us);
    }
    for repeat in 0..REPEATS {
        let state = if repeat % 2 == 0 {
            "terminating"
        } else {
            "in_service"
        };
        let line = event(bus.next_offset(), false, &[engine(engines / 2, state)]);
        patch_us.push(apply_timed(bus, gateway, &line)?.cpu_us);
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

/// Sends a line, waits until the gateway has applied it, and returns what it cost.
fn apply_timed(
    bus: &mut ScriptedBus,
    gateway: &ScaleGateway,
    line: &str,
) -> Result<Applied, ScaleError> {
    let before = gateway.usage()?.cpu;
    let took = bus.apply(line)?.ok_or(ScaleError::Bus(
        "did not apply an engine list that fits a line",
    ))?;
    let used = gateway.usage()?.cpu.saturating_sub(before);
    Ok(Applied {
        took,
        cpu_us: used.as_secs_f64() * 1e6,
    })
}

/// Finds the number of engines in the largest full list that the gateway accepts, by bisection
/// between the largest size in [`SIZES`] and [`TARGET`], which is known to be refused.
fn largest_full_list(bus: &mut ScriptedBus) -> Result<u32, ScaleError> {
    let mut applied = SIZES.last().copied().unwrap_or(1);
    let mut refused = TARGET;
    while refused - applied > 1 {
        let middle = applied.midpoint(refused);
        if bus.apply(&full_list(bus.next_offset(), middle))?.is_some() {
            applied = middle;
        } else {
            refused = middle;
        }
    }
    Ok(applied)
}

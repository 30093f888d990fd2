//! Measures replicated state by the number of instances, each of which is a member with the runtime
//! of `violetgate serve`: the leader's CPU time at rest, the read-index requests that it receives,
//! the time until all members have applied a change, and the number of members that may route.

mod costs;
mod group;
mod members;
mod relay;

use std::rc::Rc;

use async_executor::LocalExecutor;

use crate::error::ScaleError;
use crate::figures::{CapacityLimit, Figures, Options};
use costs::{Slopes, TARGET};
use group::{Group, READY_TIMEOUT};

/// The numbers of instances. The sizes around 65 are close together, as the transport's limit on
/// connections is expected to show there.
const SIZES: [u64; 10] = [3, 5, 9, 17, 33, 49, 60, 65, 66, 70];
const SHORT_SIZES: [u64; 3] = [3, 5, 9];

/// Measures a cluster at several sizes, as it grows from each size to the next.
///
/// # Errors
///
/// Returns an error if members can't be started or added, if the first member does not become
/// leader, or if changes are not applied in time.
pub fn measure(options: &Options, figures: &mut Figures) -> Result<(), ScaleError> {
    let sizes = options.select(&SHORT_SIZES[..], &SIZES[..]);
    let executor = Rc::new(LocalExecutor::new());
    let measured = measure_sizes(&executor, sizes, options, figures);
    let Measured { slopes, largest } = async_io::block_on(executor.run(measured))?;
    let all_route = sizes.last().copied() == largest;
    if options.short {
        return if all_route {
            Ok(())
        } else {
            Err(ScaleError::Late {
                what: "routing",
                seconds: READY_TIMEOUT.as_secs(),
            })
        };
    }
    slopes.record(figures);
    if !all_route {
        figures.add(
            "agreed_state_connections_breaks_at_instances",
            largest.unwrap_or(0),
        );
        figures.add_limit(CapacityLimit {
            name: "agreed_state_connections".to_owned(),
            size: largest.map(|size| size as f64),
            size_of: "instances",
            target: TARGET,
        });
    }
    Ok(())
}

/// The costs by size, and the largest size at which all instances routed.
struct Measured {
    slopes: Slopes,
    largest: Option<u64>,
}

async fn measure_sizes(
    executor: &Rc<LocalExecutor<'static>>,
    sizes: &[u64],
    options: &Options,
    figures: &mut Figures,
) -> Result<Measured, ScaleError> {
    let mut measured = Measured {
        slopes: Slopes::default(),
        largest: None,
    };
    let mut group = Group::start(executor, options.seed)?;
    for &size in sizes {
        let routing = group.grow_to(size).await?;
        figures.add(&format!("agreed_state_routing_at_{size}"), routing);
        if routing < size as usize {
            println!("agreed_state: {routing} of {size} instances may route");
            continue;
        }
        measured.largest = Some(size);
        let costs = group.measure_costs(options, size).await?;
        measured.slopes.push(size as f64, &costs);
        if options.short {
            figures.add(&format!("agreed_state_changes_at_{size}"), costs.changes);
        }
    }
    if !options.short {
        figures.add("agreed_state_repeated_windows", group.repeated_windows);
    }
    Ok(measured)
}

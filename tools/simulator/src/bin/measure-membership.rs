//! Measures the cost of membership in one case at one fleet size: `measure-membership CASE SIZE
//! [SEED [TIME_LIMIT_S]]`. A process measures one case only, so that its memory figure is
//! that of the case.

use std::process::ExitCode;
use std::time::Duration;

use violetgate_membership::MembershipConfig;
use violetgate_simulator::load::{simulate, Case};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let number = |at: usize| args.get(at).and_then(|n| n.parse::<u64>().ok());
    let case = Case::ALL
        .into_iter()
        .find(|case| args.get(1).is_some_and(|name| name == case.name()));
    let (Some(case), Some(count)) = (case, number(2)) else {
        eprintln!(
            "usage: measure-membership rest|change|fifth|halves|rollout|start SIZE [SEED [TIME_LIMIT_S]]"
        );
        return ExitCode::FAILURE;
    };
    let config = MembershipConfig::default();
    let at_most = Duration::from_secs(number(4).unwrap_or(600));
    let load = simulate(
        case,
        count as usize,
        &config,
        number(3).unwrap_or(1),
        at_most,
    );
    println!("{} {count}: {load:?}", case.name());
    ExitCode::SUCCESS
}

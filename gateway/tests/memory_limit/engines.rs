//! Engines whose answers the gateway has to hold.

use violetgate_fake_upstreams::Fault;
use violetgate_test_harness::crowd::requests::{large_result, session, slow_large_lookup};
use violetgate_test_harness::crowd::Behaviour;

use super::{withstand, MANY_DESCRIPTORS, MEMORY_MB};
use crate::support::GatewayProcess;

/// So many that the gateway sends them hundreds of requests at a time.
const ENGINES: usize = 64;

/// Hundreds of results of which the last page is missing.
#[test]
fn results_without_their_last_page_stay_within_the_memory_limit() {
    let mut gateway = GatewayProcess::start_with_limits(ENGINES, "", MEMORY_MB, MANY_DESCRIPTORS);
    for id in gateway.upstreams.ids() {
        gateway.upstreams.fault(&id, Fault::WithholdLastPage);
    }
    let addr = gateway.listen.clone();
    let large_results =
        Behaviour::send_at_once(|number| session(&[large_result(number | 1 << 40)]));
    withstand(&mut gateway, &addr, large_results);
}

/// Large statements on hundreds of engine connections, which kept a copy of the last one each.
#[test]
fn large_statements_to_many_engines_stay_within_the_memory_limit() {
    let mut gateway = GatewayProcess::start_with_limits(ENGINES, "", MEMORY_MB, MANY_DESCRIPTORS);
    let addr = gateway.listen.clone();
    let large_statements =
        Behaviour::send_at_once(|number| session(&[slow_large_lookup(number | 1 << 40)]));
    withstand(&mut gateway, &addr, large_statements);
}

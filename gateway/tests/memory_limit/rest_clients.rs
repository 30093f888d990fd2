//! Crowds of REST clients, with as many connections as the settings can allow.

use violetgate_test_harness::crowd::requests::{half_body, many_short_headers};
use violetgate_test_harness::crowd::Behaviour;

use super::{withstand, MANY_DESCRIPTORS, MEMORY_MB};
use crate::support::GatewayProcess;

const MANY_CONNECTIONS: &str = "  max_connections = 256";
const HALF_BODY_BYTES: usize = 95_000;
const HALF_HEAD_BYTES: usize = 15_000;

fn withstand_rest(behaviour: Behaviour) {
    let mut gateway =
        GatewayProcess::start_with_limits(2, MANY_CONNECTIONS, MEMORY_MB, MANY_DESCRIPTORS);
    let addr = gateway.rest.clone();
    withstand(&mut gateway, &addr, behaviour);
}

/// Hundreds of REST clients stopped in the middle of a large body, and the process passed its limit.
#[test]
fn half_bodies_stay_within_the_memory_limit() {
    withstand_rest(Behaviour::send_at_once(|number| {
        half_body(number, HALF_BODY_BYTES)
    }));
}

/// Hundreds of REST clients sent heads of very many short fields.
#[test]
fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    withstand_rest(Behaviour::send_at_once(|_| {
        many_short_headers(HALF_HEAD_BYTES)
    }));
}

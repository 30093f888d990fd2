//! Operators that change and read replicated keys, which is recorded for the linearizability check,
//! and that cordon engines.

use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use rand_chacha::rand_core::RngCore;
use serde_json::json;
use violetgate_fake_upstreams::client::Reply;
use violetgate_linearizability::{Operation, OperationKind};
use violetgate_test_harness::lock;

use crate::scenario::{increment, random_pause, Random, Scenario};

/// One call of an operator, as it is sent over HTTP and as the history records it.
struct OperatorCall {
    method: &'static str,
    path: String,
    body: String,
    kind: OperationKind,
}

impl OperatorCall {
    /// Creates a write, a compare-and-swap or a read, with equal probability.
    fn random(name: &str, rng: &mut Random) -> Self {
        let (old, new) = (rng.next_u64() % 5, rng.next_u64() % 5);
        let path = format!("/v1/state?key={name}&within_ms=1500");
        match rng.next_u64() % 3 {
            0 => OperatorCall {
                method: "PUT",
                path,
                body: new.to_string(),
                kind: OperationKind::Write(new),
            },
            1 => {
                let transaction = json!({"checks": [{"key": name, "holds": old.to_string()}],
                    "then": [{"put": name, "value": new.to_string()}]});
                OperatorCall {
                    method: "POST",
                    path: "/v1/transactions?within_ms=1500".to_owned(),
                    body: transaction.to_string(),
                    kind: OperationKind::CompareAndSwap {
                        expected: old,
                        new,
                        swapped: None,
                    },
                }
            }
            _ => OperatorCall {
                method: "GET",
                path,
                body: String::new(),
                kind: OperationKind::Read(None),
            },
        }
    }

    /// Records the outcome that a reply reports. Returns `false` if the outcome is still unknown.
    fn complete(&mut self, reply: &Reply) -> bool {
        match (&mut self.kind, reply.status) {
            (OperationKind::Read(seen), 200) => {
                *seen = reply.json()["value"]
                    .as_str()
                    .and_then(|value| value.parse().ok());
            }
            (OperationKind::Read(seen), 404) => *seen = None,
            (OperationKind::Write(_), 200) => {}
            (OperationKind::CompareAndSwap { swapped, .. }, 200) => {
                *swapped = reply.json()["held"].as_bool()
            }
            _ => return false,
        }
        true
    }
}

/// Runs one operator, which changes and reads keys at random members until the run is over. Each
/// call is repeated under the same request id until its outcome is known.
pub fn run_operator(scenario: &Scenario<'_>, operator: u64, mut rng: Random) {
    let micros = |at: Instant| u64::try_from((at - scenario.begun).as_micros()).unwrap_or(u64::MAX);
    let mut number = 0;
    while !scenario.over.load(SeqCst) {
        number += 1;
        // The key changes over time, so that the history of each key is short enough to be checked.
        let key = scenario.begun.elapsed().as_millis() as u64 / 1_200;
        let mut call = OperatorCall::random(&format!("proof/{key}"), &mut rng);
        let began = Instant::now();
        let id = format!("o-{operator}-{number}");
        let ended = send_until_known(scenario, &mut call, &id, began, &mut rng);
        let read = matches!(call.kind, OperationKind::Read(_));
        increment(match ended {
            Some(_) => &scenario.tally.answered_calls,
            None => &scenario.tally.unknown_outcome,
        });
        // A read without an answer does not constrain the history.
        if ended.is_some() || !read {
            let operation = Operation {
                key,
                kind: call.kind,
                started_at: micros(began),
                finished_at: ended.map(micros),
            };
            lock(&scenario.history).push(operation);
        }
        std::thread::sleep(random_pause(&mut rng, 5, 60));
    }
}

/// Sends a call to random members, for at most three seconds, until its outcome is known. Returns
/// when the outcome became known.
fn send_until_known(
    scenario: &Scenario<'_>,
    call: &mut OperatorCall,
    id: &str,
    began: Instant,
    rng: &mut Random,
) -> Option<Instant> {
    while began.elapsed() < Duration::from_secs(3) {
        let instance = scenario.cluster.pick(rng.next_u64());
        let reply = instance.call(
            call.method,
            &call.path,
            Some(id),
            call.body.as_bytes(),
            Duration::from_secs(2),
        );
        if reply.is_ok_and(|reply| call.complete(&reply)) {
            return Some(Instant::now());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    None
}

/// Cordons and uncordons engines through random members until the run is over. Tells the fake
/// engines when each cordon starts and ends, so that they can time the queries that arrive during
/// it.
pub fn cordon_engines(scenario: &Scenario<'_>, mut rng: Random) {
    let ids = scenario.engines.ids();
    let send_until_accepted = |method: &str, engine: &str, rng: &mut Random| {
        let id = format!("c-{:016x}", rng.next_u64());
        while !scenario.over.load(SeqCst) {
            let instance = scenario.cluster.pick(rng.next_u64());
            let path = format!("/v1/cordons?engine={engine}&within_ms=1500");
            let reply = instance.call(method, &path, Some(&id), b"", Duration::from_secs(2));
            if reply.is_ok_and(|r| r.status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    };
    while !scenario.over.load(SeqCst) {
        let Some(engine) = ids.get(rng.next_u64() as usize % ids.len().max(1)) else {
            return;
        };
        if !send_until_accepted("PUT", engine, &mut rng) {
            return;
        }
        scenario.engines.record_cordon(engine, true);
        increment(&scenario.tally.cordons);
        std::thread::sleep(random_pause(&mut rng, 2_500, 4_000));
        // Gateways may use the engine again as soon as the call to uncordon it is sent.
        scenario.engines.record_cordon(engine, false);
        if !send_until_accepted("DELETE", engine, &mut rng) {
            return;
        }
        std::thread::sleep(random_pause(&mut rng, 50, 300));
    }
}

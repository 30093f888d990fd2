//! Operators: changes and reads of replicated keys, recorded for the linearizability check, and
//! cordons.

use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use rand_chacha::rand_core::RngCore;
use serde_json::json;
use violetgate_fake_upstreams::client::Reply;
use violetgate_linearizability::{Operation, OperationKind};
use violetgate_test_harness::lock;

use crate::scenario::{increment, random_pause, Random, Scenario};

/// One call of an operator, as it goes over HTTP and as the history records it.
struct OperatorCall {
    method: &'static str,
    path: String,
    body: String,
    kind: OperationKind,
}

impl OperatorCall {
    /// A write, a compare-and-swap or a read, each as likely.
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

    /// Takes what a reply says of the call. False: its fate is still unknown.
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

/// Changes and reads keys at any member; each call is sent again under its one id until its fate is
/// known.
pub fn run_operator(scenario: &Scenario<'_>, operator: u64, mut rng: Random) {
    let micros = |at: Instant| u64::try_from((at - scenario.begun).as_micros()).unwrap_or(u64::MAX);
    let mut number = 0;
    while !scenario.over.load(SeqCst) {
        number += 1;
        // Keys change, so that the history of each is short enough to be checked.
        let key = scenario.begun.elapsed().as_millis() as u64 / 1_200;
        let mut call = OperatorCall::random(&format!("proof/{key}"), &mut rng);
        let began = Instant::now();
        let id = format!("o-{operator}-{number}");
        let ended = send_until_known(scenario, &mut call, &id, began, &mut rng);
        let read = matches!(call.kind, OperationKind::Read(_));
        increment(match ended {
            Some(_) => &scenario.tally.changes,
            None => &scenario.tally.unsure,
        });
        // A read that nobody answered says nothing.
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

/// Sends a call to one member after another for three seconds at most; when its fate became known.
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

/// Cordons engines and uncordons them, at any member, and records at the engines from when on
/// nothing more may come.
pub fn cordon_engines(scenario: &Scenario<'_>, mut rng: Random) {
    let ids = scenario.fleet.ids();
    let agreed = |method: &str, engine: &str, rng: &mut Random| {
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
        if !agreed("PUT", engine, &mut rng) {
            return;
        }
        scenario.fleet.record_cordon(engine, true);
        increment(&scenario.tally.cordons);
        std::thread::sleep(random_pause(&mut rng, 2_500, 4_000));
        // From the call on it may be used again.
        scenario.fleet.record_cordon(engine, false);
        if !agreed("DELETE", engine, &mut rng) {
            return;
        }
        std::thread::sleep(random_pause(&mut rng, 50, 300));
    }
}

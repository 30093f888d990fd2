//! Tests of deployments that leave out a setting.

mod common;

use std::collections::BTreeMap;

use common::*;
use violetgate_policy::interface::{Class, NewQuery, Outcome};
use violetgate_policy::{Event, Settings};

/// A class whose late answers have no weight.
fn zero_late_weight() -> Class {
    Class {
        latency_objective: Some(2 * S),
        late_weight_fraction: Some(0.0),
        ..class(10 * S)
    }
}

/// Queries are sent while threads are free, each is answered, and the threads become free again.
#[test]
fn every_query_is_served_or_answered_whatever_setting_is_missing() {
    type Omission = fn(&mut Settings);
    let omissions: [(&str, Omission); 8] = [
        ("gateways", |config| config.gateways = None),
        ("progress period", |config| config.progress_period = None),
        ("cancel", |config| config.can_cancel = false),
        ("retry-after", |config| config.max_retry_after = None),
        ("attempts", |config| config.max_attempts = None),
        ("cores", |config| config.engine_kinds.clear()),
        ("objective and deadline", |config| {
            (
                config.classes[0].latency_objective,
                config.classes[0].deadline,
            ) = (None, None)
        }),
        ("classes", |config| config.classes.clear()),
    ];
    for (setting, omit) in omissions {
        for estimates in [true, false] {
            let mut config = settings(vec![zero_late_weight()], 1.0);
            omit(&mut config);
            let mut gateway = TestGateway::new(config, vec![engine(0), engine(1)]);
            let request = |id| NewQuery {
                estimated_work: estimates.then_some(500 * MS),
                ..query(id, 0)
            };
            let first: Vec<_> = (1..=40)
                .map(|id| (id, gateway.arrive(request(id))))
                .collect();
            let mut out: BTreeMap<_, _> = first
                .iter()
                .filter_map(|(id, a)| Some((*id, sent_to(a, *id)?)))
                .collect();
            let mut ended = first.iter().filter(|(id, a)| is_rejected(a, *id)).count();
            assert!(
                out.len() >= 2,
                "without {setting}: {} queries were sent",
                out.len()
            );
            // One attempt completes every 50 ms. Queued queries take the free threads or are given
            // up in time.
            for _ in 0..400 {
                gateway.now += 50 * MS;
                let mut actions = gateway.handle(Event::TimerFired);
                if let Some((id, at)) = out.pop_first() {
                    actions.extend(gateway.end_attempt(id, 0, at, Outcome::Completed));
                    ended += 1;
                }
                (1..=40).for_each(|id| {
                    out.extend(sent_to(&actions, id).map(|target| (id, target)));
                    ended += usize::from(is_rejected(&actions, id));
                });
            }
            assert_eq!(ended, 40, "without {setting}, estimates: {estimates}");
            assert!(
                sent_to(&gateway.arrive(request(100)), 100).is_some(),
                "without {setting}, a query is not sent after all others ended"
            );
        }
    }
}

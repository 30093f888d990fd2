//! Crowds of clients, each on a gateway of its own.

use std::net::SocketAddr;
use std::time::Duration;

use violetgate_acceptance::{Gateway, Result, Verdict};
use violetgate_fake_upstreams::{FakeUpstreams, Fault, Profile};
use violetgate_test_harness::crowd::requests::{
    cut, half_body, large_lookup, large_result, many_short_fields, many_short_headers, session,
    slow_large_lookup,
};
use violetgate_test_harness::crowd::{Behaviour, Crowd};
use violetgate_test_harness::program_beside;

use crate::usual_client::UsualClient;
use crate::{add_peak, limits, Arguments};

const ENGINES: usize = 16;
/// More clients than may connect at once.
const CROWD_SIZE: usize = 700;
const HALF_MESSAGE_BYTES: usize = 60_000;
const HALF_BODY_BYTES: usize = 95_000;
const HALF_HEAD_BYTES: usize = 15_000;
/// The ids of a crowd's requests, which differ from those of the usual client.
const FIRST_ID: u64 = 1 << 40;

/// The front end that a crowd connects to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FrontEnd {
    Postgres,
    Rest,
}

/// A crowd, and a fault of the engines while it acts.
struct CrowdCase {
    name: &'static str,
    front_end: FrontEnd,
    behaviour: Behaviour,
    fault: Fault,
}

impl CrowdCase {
    fn postgres(name: &'static str, behaviour: Behaviour) -> Self {
        CrowdCase {
            name,
            front_end: FrontEnd::Postgres,
            behaviour,
            fault: Fault::None,
        }
    }

    fn rest(name: &'static str, behaviour: Behaviour) -> Self {
        CrowdCase {
            front_end: FrontEnd::Rest,
            ..Self::postgres(name, behaviour)
        }
    }
}

/// Clients that stop within a large statement.
pub fn half_statements() -> Behaviour {
    Behaviour::send_at_once(|number| session(&[cut(large_lookup(number), HALF_MESSAGE_BYTES)]))
}

fn all_cases() -> Vec<CrowdCase> {
    let slow_writers = Behaviour {
        chunk_bytes: 4_000,
        chunk_interval: Duration::from_millis(40),
        ..Behaviour::send_at_once(|number| session(&[large_lookup(FIRST_ID | number)]))
    };
    let short_fields = Behaviour::send_at_once(|number| {
        session(&[cut(many_short_fields(number), HALF_MESSAGE_BYTES)])
    });
    let pipelined = Behaviour::send_at_once(|number| {
        session(&[0, 1, 2].map(|place| large_lookup(FIRST_ID | number << 8 | place)))
    });
    let slow_statements =
        Behaviour::send_at_once(|number| session(&[slow_large_lookup(FIRST_ID | number)]));
    let large_results =
        |number: u64| session(&[0, 1, 2].map(|place| large_result(FIRST_ID | number << 8 | place)));
    let unread = Behaviour {
        reads: false,
        ..Behaviour::send_at_once(large_results)
    };
    vec![
        CrowdCase::postgres("half_statements", half_statements()),
        CrowdCase::postgres("slow_writers", slow_writers),
        CrowdCase::postgres("short_fields", short_fields),
        CrowdCase::postgres("pipelined", pipelined),
        CrowdCase::postgres("slow_statements", slow_statements),
        CrowdCase::postgres("unread_results", unread),
        CrowdCase {
            fault: Fault::WithholdLastPage,
            ..CrowdCase::postgres("partial_results", Behaviour::send_at_once(large_results))
        },
        CrowdCase::rest(
            "half_bodies",
            Behaviour::send_at_once(|number| half_body(number, HALF_BODY_BYTES)),
        ),
        CrowdCase::rest(
            "short_headers",
            Behaviour::send_at_once(|_| many_short_headers(HALF_HEAD_BYTES)),
        ),
    ]
}

/// Lets each crowd act on a gateway with this number of descriptors.
pub fn check(arguments: &Arguments, descriptors: u64, verdict: &mut Verdict) -> Result<()> {
    for case in all_cases() {
        let engines = FakeUpstreams::start(ENGINES, Profile::default())?;
        // A quarter of the descriptors is the most that REST clients can get.
        let rest_settings = format!("  max_connections = {}", descriptors / 4);
        let program = program_beside("violetgate")?;
        let limits = limits(descriptors);
        let mut gateway = Gateway::start_with_limits(&program, &engines, &rest_settings, limits)?;
        for id in engines.ids() {
            engines.fault(&id, case.fault);
        }
        let addr: SocketAddr = match case.front_end {
            FrontEnd::Postgres => gateway.postgres_addr,
            FrontEnd::Rest => gateway.rest_addr,
        };
        let crowd = Crowd::start(addr, CROWD_SIZE, case.behaviour);
        let mut usual = UsualClient::default();
        usual.run_for(gateway.postgres_addr, arguments.crowd_time(), || {});
        drop(crowd);
        let name = format!("{}_{descriptors}", case.name);
        add_peak(verdict, &name, gateway.peak_resident_bytes());
        usual.add_figures(verdict, &name);
        verdict.exactly(
            &format!("{name}_running"),
            u64::from(gateway.is_running()),
            1,
        );
    }
    Ok(())
}

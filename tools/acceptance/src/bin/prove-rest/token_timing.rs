//! Whether response times show how close a forged page token is to a good one.

use std::time::{Duration, Instant};

use violetgate_acceptance::{Gateway, Result, Verdict};
use violetgate_fake_upstreams::{FakeUpstreams, Profile};

use crate::requests::query_body;
use crate::{Arguments, REST_SETTINGS};

/// Whether the time of a 404 shows what was wrong with a token: one that is changed in its last
/// bytes against one that is nothing like a token.
pub fn measure(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    let fleet = FakeUpstreams::start(2, Profile::default())?;
    let gateway = Gateway::start(&arguments.program, &fleet, REST_SETTINGS)?;
    let mut http = gateway.connect_http()?;
    http.send_query(&query_body("report", "ms=0 rows=300 width=55"), None)?;
    let id = http.read()?.json()["id"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let near = format!(
        "/v1/queries/{}AAAAAA/pages/2",
        id.get(..id.len().saturating_sub(6)).unwrap_or_default()
    );
    let far = format!("/v1/queries/{}/pages/2", "-".repeat(id.len()));
    let mut times = [Vec::new(), Vec::new()];
    for _ in 0..4_000 {
        for (path, times) in [&near, &far].into_iter().zip(&mut times) {
            let begun = Instant::now();
            if http.get(path)?.status == 404 {
                times.push(begun.elapsed());
            }
        }
    }
    let medians = times.map(|mut t| {
        t.sort_unstable();
        t.get(t.len() / 2).map_or(f64::NAN, Duration::as_secs_f64)
    });
    let ratio = medians[0].max(medians[1]) / medians[0].min(medians[1]);
    println!(
        "404 for a token that is nearly good {:.1} us, for noise {:.1} us",
        medians[0] * 1e6,
        medians[1] * 1e6
    );
    verdict.at_most("forged_token_time_ratio", ratio, 1.1);
    Ok(())
}

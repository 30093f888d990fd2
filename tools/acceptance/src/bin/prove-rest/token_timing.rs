//! Checks that response times don't reveal how close a forged page token is to a valid one.

use std::time::{Duration, Instant};

use violetgate_acceptance::{Gateway, Result, Verdict};
use violetgate_fake_upstreams::{FakeUpstreams, Profile};

use crate::requests::query_body;
use crate::{Arguments, REST_SETTINGS};

/// Compares the median times of a 404 for a token whose last characters are changed and for a text
/// that does not resemble a token.
pub fn measure(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    let engines = FakeUpstreams::start(2, Profile::default())?;
    let gateway = Gateway::start(&arguments.program, &engines, REST_SETTINGS)?;
    let mut http = gateway.connect_http()?;
    http.send_query(&query_body("report", "ms=0 rows=300 width=55"), None)?;
    let id = http.read()?.json()["id"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let almost_valid = format!(
        "/v1/queries/{}AAAAAA/pages/2",
        id.get(..id.len().saturating_sub(6)).unwrap_or_default()
    );
    let unrelated = format!("/v1/queries/{}/pages/2", "-".repeat(id.len()));
    let mut times = [Vec::new(), Vec::new()];
    for _ in 0..4_000 {
        for (path, times) in [&almost_valid, &unrelated].into_iter().zip(&mut times) {
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
        "median time of a 404: {:.1} us for an almost valid token, {:.1} us for an unrelated text",
        medians[0] * 1e6,
        medians[1] * 1e6
    );
    verdict.at_most("forged_token_time_ratio", ratio, 1.1);
    Ok(())
}

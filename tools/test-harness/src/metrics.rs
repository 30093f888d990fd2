//! Reads the metrics of a gateway from its management interface.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use violetgate_fake_upstreams::client::HttpClient;

/// Sample values by the name of the metric with its labels, as the gateway prints it.
pub type Metrics = BTreeMap<String, f64>;

/// Reads the metrics at a management address.
///
/// # Errors
///
/// Returns an error if the connection fails or no reply arrives within the timeout.
pub fn read_metrics(management: SocketAddr, timeout: Duration) -> Result<Metrics> {
    let stream = TcpStream::connect_timeout(&management, timeout)?;
    let reply = HttpClient::new(stream, timeout)?.get("/admin/stats")?;
    Ok(parse_metrics(&String::from_utf8_lossy(&reply.body)))
}

/// Parses samples in the Prometheus text format. Lines that don't end in a number are skipped.
#[must_use]
pub fn parse_metrics(text: &str) -> Metrics {
    let samples = text.lines().filter_map(|line| line.rsplit_once(' '));
    let parsed = samples.filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)));
    parsed.collect()
}

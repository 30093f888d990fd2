//! Calls to the operators' API of control processes.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use violetgate_fake_upstreams::client::{HttpClient, Reply};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Makes one call on a connection of its own.
pub(super) fn call(
    api: SocketAddr,
    method: &str,
    path: &str,
    request_id: Option<&str>,
    body: &[u8],
) -> std::io::Result<Reply> {
    let stream = TcpStream::connect_timeout(&api, CONNECT_TIMEOUT)?;
    let mut http = HttpClient::new(stream, CALL_TIMEOUT)?;
    let headers: Vec<_> = request_id.iter().map(|id| ("request-id", *id)).collect();
    http.send(method, path, &headers, body)?;
    http.read()
}

//! Shared by the tests of the whole program: a gateway process in front of fake engines, and
//! blocking clients for it.
#![allow(
    dead_code,
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "each test file that shares this module uses a part of it"
)]

use std::io::Write;
use std::net::TcpStream;
use std::ops::{Deref, DerefMut};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;
pub use violetgate_fake_upstreams::client::Reply;
use violetgate_fake_upstreams::{client, settings, FakeUpstreams, Profile};
pub use violetgate_test_harness::Signal;
use violetgate_test_harness::{
    parse_metrics, reserve_tcp_address, send_signal, server_command, ProcessUsage,
};

/// The program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_violetgate");

/// Timeout of all waits. It is long enough for a slow machine, and reached only by a failure.
pub const WAIT: Duration = Duration::from_secs(60);
/// How often [`wait_until`] checks its condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(3);

/// Connects as soon as the address accepts connections.
pub fn connect(addr: &str) -> TcpStream {
    let deadline = Instant::now() + WAIT;
    loop {
        match TcpStream::connect(addr) {
            Ok(stream) => return stream,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns an address for the program to listen at. Its port is below the ephemeral range, since
/// an outgoing connection could otherwise take it before the program does.
pub fn reserve_address() -> String {
    reserve_tcp_address().unwrap().to_string()
}

/// Waits until a condition holds. `what` describes the condition.
pub fn wait_until(what: &str, condition: impl FnMut() -> bool) {
    let waited = violetgate_test_harness::wait_until(WAIT, CHECK_INTERVAL, condition);
    assert!(waited.is_some(), "timed out waiting until {what}");
}

/// A gateway process in front of fake engines.
pub struct GatewayProcess {
    pub upstreams: FakeUpstreams,
    pub child: Child,
    pub listen: String,
    pub rest: String,
    pub management: String,
    pub folder: PathBuf,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl GatewayProcess {
    /// Starts a gateway in front of `engines` engines. `rest` contains lines of its `rest` block,
    /// and `window` is how long engines discard a repeat of a `load`, in seconds.
    pub fn start(engines: usize, rest: &str, window: f64) -> Self {
        Self::start_with_blocks(engines, rest, window, |_| String::new())
    }

    /// Starts a gateway with these values of `limits` in its configuration.
    pub fn start_with_limits(engines: usize, rest: &str, memory_mb: u64, sockets: usize) -> Self {
        let mut gateway = Self::start(engines, rest, 12.0);
        gateway.restart_with_config(|config| {
            config["limits"]["memory_mb"] = memory_mb.into();
            config["limits"]["sockets"] = sockets.into();
        });
        gateway
    }

    /// Kills the process, changes its configuration and starts it again.
    pub fn restart_with_config(&mut self, change: impl FnOnce(&mut Value)) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        let path = self.folder.join("config.json");
        let mut config: Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
        change(&mut config);
        std::fs::write(&path, config.to_string()).unwrap();
        self.restart();
        self.wait_until_healthy();
    }

    /// Starts a gateway with further blocks in its settings file, and waits until it is healthy. If
    /// they name a member's folder, the folder is initialized.
    pub fn start_with_blocks(
        engines: usize,
        rest: &str,
        window: f64,
        extra_blocks: impl Fn(&Path) -> String,
    ) -> Self {
        let gateway = Self::spawn_with_blocks(engines, rest, window, &[], extra_blocks);
        gateway.wait_until_healthy();
        gateway
    }

    /// Starts a member that joins a running cluster. It is healthy once it has been added.
    pub fn start_joining(engines: usize, cluster_block: impl Fn(&Path) -> String) -> Self {
        Self::spawn_with_blocks(engines, "", 12.0, &["--join"], cluster_block)
    }

    /// `init_arguments` are further arguments of the command that initializes a member's folder.
    fn spawn_with_blocks(
        engines: usize,
        rest: &str,
        window: f64,
        init_arguments: &[&str],
        extra_blocks: impl Fn(&Path) -> String,
    ) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let (listen, rest_address) = (reserve_address(), reserve_address());
        let name = format!(
            "violetgate-{}-rest-{}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let upstreams = FakeUpstreams::start(engines, Profile::default()).unwrap();
        let mut settings = settings();
        settings["classes"][2]["window"] = window.into();
        let config = upstreams.config("n0", &listen, &settings);
        std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
        let extra_blocks = extra_blocks(&folder);
        std::fs::write(
            folder.join("violetgate.hcl"),
            rest_block(&rest_address, rest) + &extra_blocks,
        )
        .unwrap();
        if extra_blocks.contains("folder = ") {
            let settings = folder.join("violetgate.hcl");
            let init = ["members", "init", "--settings", settings.to_str().unwrap()];
            let (succeeded, output) = run_violetgate(&[&init[..], init_arguments].concat());
            assert!(succeeded, "{output}");
        }
        let management = reserve_address();
        let log = std::fs::File::create(folder.join("log")).unwrap();
        let child = Self::spawn(&folder, &listen, &management, log.into());
        GatewayProcess {
            upstreams,
            child,
            listen,
            rest: rest_address,
            management,
            folder,
        }
    }

    fn spawn(folder: &Path, listen: &str, management: &str, log: Stdio) -> Child {
        server_command(Path::new(PROGRAM), folder)
            .env("PROXY_LISTEN", listen)
            .env("PROXY_MANAGEMENT", management)
            .stderr(log)
            .spawn()
            .unwrap()
    }

    /// Kills the process and starts it again with its log in a pipe, which the caller may read or
    /// leave unread.
    pub fn restart_piped(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = Self::spawn(&self.folder, &self.listen, &self.management, Stdio::piped());
        self.wait_until_healthy();
    }

    /// Starts the process again without waiting until it is healthy. Its log is appended to that of
    /// the previous process.
    pub fn restart(&mut self) {
        let log = self.folder.join("log");
        let log = std::fs::OpenOptions::new().append(true).open(log).unwrap();
        self.child = Self::spawn(&self.folder, &self.listen, &self.management, log.into());
        connect(&self.rest);
    }

    /// Kills the process and starts it again as the platform does: the events of the bus are counted
    /// from 1, and the configuration holds them. `is_bus_down` is whether the bus is unreachable
    /// from the start on.
    pub fn restart_as_on_platform(&mut self, is_bus_down: bool) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.upstreams.set_bus_down(is_bus_down);
        self.upstreams.restart_numbering();
        let path = self.folder.join("config.json");
        let before: Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
        let config = self
            .upstreams
            .config("n0", &self.listen, &before["settings"]);
        std::fs::write(path, config.to_string()).unwrap();
        self.restart();
        self.wait_until_healthy();
    }

    /// Starts a process that should exit by itself. Returns its exit code and its log.
    pub fn run_until_exit(&mut self) -> (Option<i32>, String) {
        let child = Self::spawn(&self.folder, &self.listen, &self.management, Stdio::piped());
        let out = child.wait_with_output().unwrap();
        (out.status.code(), String::from_utf8(out.stderr).unwrap())
    }

    /// Waits until the process is healthy and its REST interface listens.
    pub fn wait_until_healthy(&self) {
        // A process that has exited resets connections that wait to be accepted. Its log states why
        // it exited.
        let health =
            || client::HttpClient::new(connect(&self.management), WAIT)?.get("/admin/health");
        let fail_with_log = |e| {
            let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
            panic!("the health check failed: {e}; log of the gateway: {log}")
        };
        wait_until("the gateway is healthy", || {
            health().unwrap_or_else(fail_with_log).status == 200
        });
        connect(&self.rest);
    }

    /// Starts a second process beside the first, and sends SIGTERM to the first when the second is
    /// healthy. Returns the first.
    pub fn upgrade(&mut self) -> Child {
        self.management = reserve_address();
        let child = Self::spawn(&self.folder, &self.listen, &self.management, Stdio::null());
        let old = std::mem::replace(&mut self.child, child);
        self.wait_until_healthy();
        send_signal(old.id(), Signal::TERM).unwrap();
        old
    }

    pub fn signal(&self, signal: Signal) {
        send_signal(self.child.id(), signal).unwrap();
    }

    /// Calls the management API. Returns the status and the body.
    pub fn call(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let mut http = HttpConnection::open(&self.management);
        http.send(method, path, &[], body.as_bytes());
        let reply = http.read();
        (reply.status, String::from_utf8(reply.body).unwrap())
    }

    /// Returns the value of the gateway's metric with the given full name.
    pub fn metric(&self, name: &str) -> f64 {
        let text = self.call("GET", "/admin/stats", "").1;
        let value = parse_metrics(&text).get(name).copied();
        value.unwrap_or_else(|| panic!("the gateway has no metric {name}"))
    }

    /// Returns the highest resident memory of the process so far, in bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        let usage = ProcessUsage::read(self.child.id()).expect("the process runs");
        usage.peak_resident_bytes
    }

    /// Sends one query on a new session. Returns `None` if the session ends before its answer.
    pub fn try_query(&self, sql: &str, timeout: Duration) -> Option<client::Rows> {
        let addr = self.listen.parse().unwrap();
        let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
        let mut session = client::PostgresClient::new(stream, timeout).ok()?;
        session.send(sql).ok()?;
        session.read().ok()
    }

    pub fn http(&self) -> HttpConnection {
        HttpConnection::open(&self.rest)
    }

    pub fn pg(&self) -> PostgresSession {
        PostgresSession::open(&self.listen)
    }

    /// Runs a query over REST on a new connection.
    pub fn post_query(&self, query: &Value, key: Option<&str>) -> Reply {
        let mut http = self.http();
        http.post_query(query, key);
        http.read()
    }
}

/// Runs the program until it exits. Returns whether it succeeded and all that it wrote.
pub fn run_violetgate(args: &[&str]) -> (bool, String) {
    let out = Command::new(PROGRAM).args(args).output().unwrap();
    let text = [out.stdout, out.stderr].concat();
    (out.status.success(), String::from_utf8(text).unwrap())
}

pub fn rest_block(rest: &str, lines: &str) -> String {
    format!("rest {{\n  listen = \"{rest}\"\n{lines}\n}}\n")
}

/// Waits until a process exits by itself and returns its exit code.
pub fn wait_for_exit(child: &mut Child) -> Option<i32> {
    let mut code = None;
    wait_until("the process exits", || {
        code = child.try_wait().unwrap();
        code.is_some()
    });
    code.unwrap().code()
}

/// An HTTP connection whose failures fail the test.
pub struct HttpConnection(client::HttpClient);

impl Deref for HttpConnection {
    type Target = client::HttpClient;

    fn deref(&self) -> &client::HttpClient {
        &self.0
    }
}

impl DerefMut for HttpConnection {
    fn deref_mut(&mut self) -> &mut client::HttpClient {
        &mut self.0
    }
}

impl HttpConnection {
    pub fn open(addr: &str) -> Self {
        HttpConnection(client::HttpClient::new(connect(addr), WAIT).unwrap())
    }

    pub fn send_raw(&mut self, bytes: &[u8]) {
        self.0.stream.get_mut().write_all(bytes).unwrap();
    }

    /// Sends bytes that the gateway may not take.
    pub fn try_send_raw(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.stream.get_mut().write_all(bytes)
    }

    pub fn send(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) {
        self.0.send(method, path, headers, body).unwrap();
    }

    pub fn post_query(&mut self, query: &Value, key: Option<&str>) {
        self.0.send_query(query, key).unwrap();
    }

    pub fn get(&mut self, path: &str) -> Reply {
        self.0.get(path).unwrap()
    }

    pub fn read(&mut self) -> Reply {
        self.0.read().unwrap()
    }
}

/// A PostgreSQL session whose failures fail the test.
pub struct PostgresSession(client::PostgresClient);

impl PostgresSession {
    pub fn open(addr: &str) -> Self {
        Self::from_stream(connect(addr))
    }

    pub fn from_stream(stream: TcpStream) -> Self {
        PostgresSession(client::PostgresClient::new(stream, WAIT).unwrap())
    }

    pub fn send(&mut self, sql: &str) {
        self.0.send(sql).unwrap();
    }

    /// Reads a response: its rows, or the code of its error.
    pub fn read(&mut self) -> Result<Vec<[String; 3]>, String> {
        self.0.read().unwrap()
    }

    pub fn query(&mut self, sql: &str) -> Result<Vec<[String; 3]>, String> {
        self.send(sql);
        self.read()
    }
}

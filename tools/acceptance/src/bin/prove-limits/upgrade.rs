//! A crowd of clients during an upgrade, whose two processes share the memory limit.

use std::net::{SocketAddr, TcpStream};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use violetgate_acceptance::{AcceptanceError, Gateway, Result, Verdict};
use violetgate_fake_upstreams::client::HttpClient;
use violetgate_fake_upstreams::{FakeUpstreams, Profile};
use violetgate_test_harness::crowd::Crowd;
use violetgate_test_harness::{
    program_beside, reserve_tcp_address, server_command, wait_until, KillOnDrop, ProcessUsage,
    Signal,
};

use crate::crowds::half_statements;
use crate::usual_client::UsualClient;
use crate::{add_peak, limits, Arguments};

const DESCRIPTORS: u64 = 1_024;
const ENGINES: usize = 4;
const CROWD_SIZE: usize = 700;
/// How often the memory of both processes is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// How long the new process may take until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long the old process may take to end after SIGTERM: the longest deadline, counted as 5 s at
/// most, and 0.7 s.
const END_TIMEOUT: Duration = Duration::from_millis(5_700);

/// Samples the resident memory of both processes together until it is dropped.
struct MemorySampler {
    peak_bytes: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemorySampler {
    fn start(pids: [u32; 2]) -> Self {
        let peak_bytes = Arc::new(AtomicU64::new(0));
        let is_over = Arc::new(AtomicBool::new(false));
        let (peak, ending) = (Arc::clone(&peak_bytes), Arc::clone(&is_over));
        let thread = std::thread::spawn(move || {
            while !ending.load(Ordering::Relaxed) {
                let bytes = ProcessUsage::sum(pids).resident_bytes;
                peak.fetch_max(bytes, Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        MemorySampler {
            peak_bytes,
            is_over,
            thread: Some(thread),
        }
    }

    fn peak_bytes(&self) -> u64 {
        self.peak_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for MemorySampler {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Upgrades a gateway beside a crowd of clients that stop within large statements.
pub fn check(arguments: &Arguments, verdict: &mut Verdict) -> Result<()> {
    let engines = FakeUpstreams::start(ENGINES, Profile::default())?;
    let program = program_beside("violetgate")?;
    let mut old = Gateway::start_with_limits(&program, &engines, "", limits(DESCRIPTORS))?;
    let addr = old.postgres_addr;
    let crowd = Crowd::start(addr, CROWD_SIZE, half_statements());
    let mut usual = UsualClient::default();
    usual.run_for(addr, arguments.crowd_time(), || {});
    let management = reserve_tcp_address()?;
    let new = server_command(&program, old.folder())
        .env("PROXY_MANAGEMENT", management.to_string())
        .stderr(Stdio::null())
        .spawn()?;
    let mut new = KillOnDrop::new(new);
    let sampler = MemorySampler::start([old.pid(), new.pid()]);
    wait_until(READY_TIMEOUT, READY_CHECK_INTERVAL, || is_ready(management))
        .ok_or(AcceptanceError::NotReady)?;
    old.signal(Signal::TERM);
    usual.run_for(addr, END_TIMEOUT, || {});
    drop(crowd);
    let has_ended = !old.is_running();
    add_peak(verdict, "upgrade", sampler.peak_bytes());
    usual.add_figures(verdict, "upgrade");
    verdict.exactly("upgrade_old_ended", u64::from(has_ended), 1);
    verdict.exactly("upgrade_new_running", u64::from(new.is_running()), 1);
    Ok(())
}

fn is_ready(management: SocketAddr) -> bool {
    let health = || {
        let stream = TcpStream::connect(management)?;
        HttpClient::new(stream, READY_TIMEOUT)?.get("/admin/health")
    };
    health().is_ok_and(|reply| reply.status == 200)
}

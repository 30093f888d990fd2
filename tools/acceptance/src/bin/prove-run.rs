//! `make prove-run`: what a platform that stands between a front end and the machine asks of the program that
//! `deploy/balancer.toml` names, as far as it can be seen from outside: one process by `exec`, linked dynamically against
//! the C library, no child, no io_uring, splice or sendfile, and no Unix socket that others would have to come to.

use std::collections::BTreeSet;
use std::io::{Error, Result};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

use clap::Parser;
use object::{Object, ObjectSymbol};
use violetgate_acceptance::{ended, free, Verdict};
use violetgate_fake_upstreams::client::{HttpClient, PostgresClient};
use violetgate_fake_upstreams::{FakeUpstreams, Profile};

/// Holds the program that is deployed against what a platform asks of it.
#[derive(Parser)]
struct Given {
    /// The deploy file
    #[arg(long, default_value = "deploy/balancer.toml")]
    deploy: PathBuf,
}

/// Calls that are refused where front ends run.
const REFUSED: [&str; 6] = [
    "splice",
    "sendfile",
    "sendfile64",
    "copy_file_range",
    "vmsplice",
    "tee",
];
const WAIT: Duration = Duration::from_secs(20);

fn main() -> ExitCode {
    ended("prove-run", prove(&Given::parse()))
}

struct Killed(Child);

impl Drop for Killed {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn prove(given: &Given) -> Result<bool> {
    let deploy: toml::Table = std::fs::read_to_string(&given.deploy)?
        .parse()
        .map_err(|e| Error::other(format!("{e}")))?;
    let run = deploy
        .get("run")
        .and_then(|r| r.as_str())
        .unwrap_or_default()
        .to_owned();
    let root = given
        .deploy
        .parent()
        .and_then(Path::parent)
        .filter(|r| !r.as_os_str().is_empty());
    let root = root.unwrap_or(Path::new("."));
    let last = run.rsplit(['&', ';']).next().unwrap_or_default().trim();
    let program = last
        .strip_prefix("exec ")
        .and_then(|l| l.split_whitespace().next());
    let mut verdict = Verdict::default();
    verdict.exactly("run_ends_in_exec", u64::from(program.is_some()), 1);
    let program = root.join(program.unwrap_or_default());
    linked(&program, &mut verdict)?;
    alive(root, &run, &program, &mut verdict)?;
    Ok(verdict.tell("run"))
}

/// How the program is linked, and what it could ask of the machine.
fn linked(program: &Path, verdict: &mut Verdict) -> Result<()> {
    let bytes = std::fs::read(program)?;
    let file = object::File::parse(&*bytes).map_err(Error::other)?;
    let interpreted = file.section_by_name(".interp").is_some();
    let needed = bytes.windows(9).any(|w| w == b"libc.so.6");
    let imports: BTreeSet<_> = file
        .dynamic_symbols()
        .filter(|s| s.is_undefined())
        .filter_map(|s| s.name().ok())
        .collect();
    let refused: Vec<_> = imports
        .iter()
        .filter(|n| REFUSED.contains(n) || n.starts_with("io_uring"))
        .collect();
    println!(
        "{}: {} imports, refused ones among them: {refused:?}",
        program.display(),
        imports.len()
    );
    verdict.exactly("dynamic", u64::from(interpreted && needed), 1);
    verdict.exactly("refused_imports", refused.len() as u64, 0);
    Ok(())
}

/// What the process is while it serves, is told to read its configuration again, and is called upon by operators.
fn alive(root: &Path, run: &str, program: &Path, verdict: &mut Verdict) -> Result<()> {
    let fleet = FakeUpstreams::start(2, Profile::default())?;
    let [listen, management] = free()?;
    let folder = std::env::temp_dir().join(format!("violetgate-prove-run-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let config = fleet.config("n0", &listen, &violetgate_fake_upstreams::settings());
    std::fs::write(folder.join("config.json"), config.to_string())?;
    let child = Command::new("/bin/sh")
        .args(["-c", run])
        .current_dir(root)
        .env("PROXY_CONFIG", folder.join("config.json"))
        .env("PROXY_LISTEN", &listen)
        .env("PROXY_MANAGEMENT", &management)
        .env("TMPDIR", &folder)
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    let child = Killed(child);
    let proc = PathBuf::from(format!("/proc/{}", child.0.id()));
    let until = Instant::now() + WAIT;
    let health = || {
        let mut http = HttpClient::new(std::net::TcpStream::connect(&management)?, WAIT)?;
        http.get("/admin/health")
    };
    while !health().is_ok_and(|r| r.status == 200) {
        if Instant::now() > until {
            return Err(Error::other("the program is never ready"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut served = 0;
    for n in 0..200_u64 {
        let mut pg = PostgresClient::new(std::net::TcpStream::connect(&listen)?, WAIT)?;
        let sql =
            format!("/* method=lookup,rid={n:016x},budget=9000 */ SELECT day FROM sales_17.plan");
        pg.send(&sql)?;
        served += u64::from(pg.read()?.is_ok());
        if n == 100 {
            let pid = i32::try_from(child.0.id())
                .ok()
                .and_then(rustix::process::Pid::from_raw);
            let pid = pid.ok_or_else(|| Error::other("no such process"))?;
            rustix::process::kill_process(pid, rustix::process::Signal::HUP)?;
        }
    }
    let same = proc.join("exe").canonicalize()? == program.canonicalize()?;
    let tasks: Vec<_> = std::fs::read_dir(proc.join("task"))?
        .flatten()
        .map(|t| t.path())
        .collect();
    let children: usize = tasks
        .iter()
        .filter_map(|t| std::fs::read_to_string(t.join("children")).ok())
        .map(|c| c.split_whitespace().count())
        .sum();
    let links: Vec<String> = std::fs::read_dir(proc.join("fd"))?
        .flatten()
        .filter_map(|fd| {
            Some(
                std::fs::read_link(fd.path())
                    .ok()?
                    .to_string_lossy()
                    .into_owned(),
            )
        })
        .collect();
    let rings = links.iter().filter(|l| l.contains("io_uring")).count();
    // A Unix socket with a name is one that others may come to; pairs of a process with itself have none.
    let named: BTreeSet<String> = std::fs::read_to_string(proc.join("net/unix"))?
        .lines()
        .skip(1)
        .filter_map(|l| {
            let fields: Vec<_> = l.split_whitespace().collect();
            Some(format!("socket:[{}]", fields.get(7).and(fields.get(6))?))
        })
        .collect();
    let unix = links.iter().filter(|l| named.contains(*l)).count();
    let libc = std::fs::read_to_string(proc.join("maps"))?.contains("libc.so.6");
    println!(
        "the process has {} threads and {} descriptors after 200 queries",
        tasks.len(),
        links.len()
    );
    let _ = std::fs::remove_dir_all(&folder);
    verdict.exactly("served", served, 200);
    verdict.exactly("one_process", u64::from(same), 1);
    verdict.exactly("children", children as u64, 0);
    verdict.exactly("rings", rings as u64, 0);
    verdict.exactly("unix_sockets_with_names", unix as u64, 0);
    verdict.exactly("libc_loaded", u64::from(libc), 1);
    Ok(())
}

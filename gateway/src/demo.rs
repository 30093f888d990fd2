//! `violetgate demo`: a front end before stand-in engines on loopback, in one command, to be tried with `psql` and
//! `curl`. The engines and their bus run here, the front end in a process of its own, as in service.

use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use rustix::process::{kill_process, Pid};
use violetgate_fake_upstreams::{FakeUpstreams, Profile};

/// How often the front end's end is looked for.
const LOOK: Duration = Duration::from_millis(50);

/// What the demo is like.
#[derive(Debug, clap::Args)]
pub struct Demo {
    /// Engines to start
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=100))]
    engines: u16,
    /// Port for PostgreSQL clients
    #[arg(long, default_value_t = 5480)]
    port: u16,
    /// Port for REST clients
    #[arg(long, default_value_t = 8480)]
    rest_port: u16,
    /// Port for operators' calls
    #[arg(long, default_value_t = 9480)]
    management_port: u16,
    /// Instances to start; more than one agree on their state
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=5))]
    instances: u16,
    /// Port for members of the cluster; their APIs are ten ports on
    #[arg(long, default_value_t = 7480)]
    cluster_port: u16,
    /// Port for datagrams between the instances
    #[arg(long, default_value_t = 7580)]
    fleet_port: u16,
}

/// A folder that goes with the demo.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Where one instance is.
struct Instance {
    listen: String,
    rest: String,
    management: String,
    peer: String,
    api: String,
    fleet: String,
}

impl Instance {
    fn new(demo: &Demo, n: u16) -> Self {
        let at = |port: u16| format!("127.0.0.1:{}", port.saturating_add(n));
        Instance {
            listen: at(demo.port),
            rest: at(demo.rest_port),
            management: at(demo.management_port),
            peer: at(demo.cluster_port),
            api: at(demo.cluster_port.saturating_add(10)),
            fleet: at(demo.fleet_port),
        }
    }
}

fn kill(child: &Child) {
    if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, rustix::process::Signal::TERM);
    }
}

/// Runs the demo until it is interrupted or its front ends end.
///
/// # Errors
///
/// Something can't be started; the text says what.
pub fn run(demo: &Demo) -> Result<(), String> {
    let fleet = FakeUpstreams::start(usize::from(demo.engines), Profile::default())
        .map_err(|e| format!("stand-in engines: {e}"))?;
    let folder = std::env::temp_dir().join(format!("violetgate-demo-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let folder = Folder(folder);
    let program = std::env::current_exe().map_err(|e| format!("this program's path: {e}"))?;
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).map_err(|e| format!("signals: {e}"))?;
    let instances: Vec<_> = (0..demo.instances)
        .map(|n| Instance::new(demo, n))
        .collect();
    for instance in &instances {
        let Instance {
            listen,
            rest,
            management,
            peer,
            api,
            fleet: at,
        } = instance;
        if demo.instances > 1 {
            std::net::UdpSocket::bind(at)
                .map_err(|e| format!("{at}: {e}; is there another demo?"))?;
        }
        let own = if demo.instances > 1 { 5 } else { 3 };
        // Front ends share their ports with their successors, and would with another demo, without a word.
        for at in [listen, rest, management, peer, api].into_iter().take(own) {
            std::net::TcpListener::bind(at)
                .map_err(|e| format!("{at}: {e}; is there another demo?"))?;
        }
    }
    let members: String = instances
        .iter()
        .zip(1..)
        .map(|(i, id)| format!("    \"{id}\" = \"{}\"\n", i.peer))
        .collect();
    let seeds: Vec<_> = instances
        .iter()
        .map(|i| format!("\"{}\"", i.fleet))
        .collect();
    let mut settings = violetgate_fake_upstreams::settings();
    if let Some(settings) = settings.as_object_mut() {
        settings.insert("balancers".to_owned(), demo.instances.into());
    }
    let mut processes = Vec::new();
    for (instance, id) in instances.iter().zip(1..) {
        let own = folder.0.join(format!("{id}"));
        std::fs::create_dir_all(&own).map_err(|e| format!("{}: {e}", own.display()))?;
        let file = |name: &str, text: String| {
            let path = own.join(name);
            std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
            Ok::<_, String>(path)
        };
        let config = fleet.config(&format!("demo-{id}"), &instance.listen, &settings);
        file("config.json", config.to_string())?;
        let mut text = format!("rest {{\n  listen = \"{}\"\n}}\n", instance.rest);
        if demo.instances > 1 {
            text += &format!(
                "cluster {{\n  name = \"demo\"\n  id = {id}\n  folder = \"{}\"\n  listen = \"{}\"\n  \
                 api = \"{}\"\n  members = {{\n{members}  }}\n}}\n",
                own.join("member").display(),
                instance.peer,
                instance.api,
            );
            text += &format!(
                "fleet {{\n  name = \"demo\"\n  member = \"demo-{id}\"\n  listen = \"{}\"\n  seeds = [{}]\n  \
                 settle = \"8s\"\n}}\n",
                instance.fleet,
                seeds.join(", "),
            );
        }
        let settings = file("violetgate.hcl", text)?;
        if demo.instances > 1 {
            let made = Command::new(&program)
                .args(["members", "init", "--settings"])
                .arg(&settings)
                .status();
            if !made.is_ok_and(|status| status.success()) {
                return Err(format!("the folder of member {id} can't be made"));
            }
        }
        let child = Some(serve(&program, instance, &own)?);
        processes.push(Process {
            instance,
            own,
            child,
        });
    }
    print!("{}", welcome(demo, &instances));
    let calls = calls();
    let ended = async_io::block_on(async {
        let asked = async {
            signals.next().await;
            Ok(())
        };
        watch(&program, &mut processes, &calls).or(asked).await
    });
    let mut children: Vec<_> = processes.into_iter().filter_map(|p| p.child).collect();
    children.iter().for_each(kill);
    let mut failed = Vec::new();
    for child in &mut children {
        match child.wait() {
            Ok(status) if status.success() => {}
            Ok(status) => failed.push(format!("a front end ended with {status}")),
            Err(e) => failed.push(format!("a front end: {e}")),
        }
    }
    ended?;
    failed.into_iter().next().map_or(Ok(()), Err)
}

/// One front end of the demo, while it runs.
struct Process<'a> {
    instance: &'a Instance,
    own: PathBuf,
    child: Option<Child>,
}

fn serve(program: &Path, instance: &Instance, own: &Path) -> Result<Child, String> {
    Command::new(program)
        .arg("serve")
        .arg("--settings")
        .arg(own.join("violetgate.hcl"))
        .env("PROXY_CONFIG", own.join("config.json"))
        .env("PROXY_LISTEN", &instance.listen)
        .env("PROXY_MANAGEMENT", &instance.management)
        .env("TMPDIR", own)
        .stdin(std::process::Stdio::null())
        .spawn()
        .map_err(|e| format!("the front end: {e}"))
}

/// What is typed, line by line. A thread of its own waits for it; it ends with the program.
fn calls() -> Receiver<String> {
    let (typed, calls) = channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            if typed.send(line).is_err() {
                break;
            }
        }
    });
    calls
}

/// Watches the front ends until the last has ended. One of several that ends is told of and can be brought back; what
/// ends with an error as the last is the demo's.
async fn watch(
    program: &Path,
    all: &mut [Process<'_>],
    calls: &Receiver<String>,
) -> Result<(), String> {
    loop {
        let count = all.len();
        let mut last = None;
        for (p, id) in all.iter_mut().zip(1..) {
            let Some(child) = &mut p.child else { continue };
            let ended = child.try_wait().map_err(|e| format!("a front end: {e}"))?;
            if let Some(status) = ended {
                p.child = None;
                last = Some(status);
                if count > 1 {
                    println!(
                        "instance {id} has ended ({status}); `start {id}` here brings it back"
                    );
                }
            }
        }
        if all.iter().all(|p| p.child.is_none()) {
            return match last {
                Some(status) if !status.success() => {
                    Err(format!("a front end ended with {status}"))
                }
                _ => Ok(()),
            };
        }
        while let Ok(call) = calls.try_recv() {
            let id = call
                .trim()
                .strip_prefix("start")
                .and_then(|n| n.trim().parse::<usize>().ok());
            match id.and_then(|id| all.get_mut(id.checked_sub(1)?)) {
                Some(p) if p.child.is_some() => println!("it runs"),
                Some(p) => p.child = Some(serve(program, p.instance, &p.own)?),
                None if call.trim().is_empty() => {}
                None => println!("`start N`, N from 1 to {count}, brings an instance back"),
            }
        }
        Timer::after(LOOK).await;
    }
}

fn welcome(demo: &Demo, instances: &[Instance]) -> String {
    let (engines, port) = (demo.engines, demo.port);
    let Some(Instance {
        listen,
        rest,
        management,
        ..
    }) = instances.first()
    else {
        return String::new();
    };
    let apis = instances
        .iter()
        .map(|i| i.api.as_str())
        .collect::<Vec<_>>()
        .join(",");
    let cluster = if instances.len() > 1 {
        format!(
            r#"{} instances on ports that follow each other agree on cordons, drains and settings, and know who is alive:

  export VIOLETGATE_AT={apis}
  violetgate members list
  violetgate ctl cordon e-1
  violetgate ctl watch &
  violetgate ctl put greeting hello
  curl -s http://{management}/admin/stats | grep fleet    # then stop or kill one, and look again

"#,
            instances.len()
        )
    } else {
        String::new()
    };
    cluster
        + &format!(
            r#"violetgate demo: {engines} stand-in engines, PostgreSQL at {listen}, REST at {rest}. Ctrl-C ends it.

Over PostgreSQL (an id has to be new each time):

  psql "host=127.0.0.1 port={port} user=app dbname=analytics sslmode=disable" -c \
    "/* method=lookup,rid=$(od -An -N8 -tx8 /dev/urandom | tr -d ' '),budget=5000 */ SELECT day FROM sales_17.plan"

Over REST; `rows` and `width` are hints to the stand-in engines, and make a result of several pages:

  curl -i http://{rest}/v1/queries -d '{{"class":"report","budget_ms":60000,
    "statement":"SELECT day FROM sales_17.plan /* rows=400 width=40 */"}}'
  curl -i http://{rest}/v1/queries/ID/pages/2        # ID from the first answer
  curl -i -X DELETE http://{rest}/v1/queries/ID

A keyed class; the same again gets the same answer and runs nothing:

  curl -i http://{rest}/v1/queries -H 'Idempotency-Key: ward-7' -d '{{"class":"load","budget_ms":10000,
    "order_key":"7f3a9c21e0b4d655","statement":"INSERT INTO sales_2.plan SELECT 1"}}'

Operators' calls:

  curl http://{management}/admin/stats
  curl -X PUT -d '{{"host":"e-1"}}' http://{management}/admin/cordon

"#
        )
}

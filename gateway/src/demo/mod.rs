//! `violetgate demo`: starts a gateway in front of fake engines on loopback, to be tried with
//! `psql` and `curl`. The engines and their event bus run in this process. Each gateway runs in a
//! process of its own, as in production.

mod error;
mod instance;
mod processes;
mod welcome;

use std::path::{Path, PathBuf};

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use violetgate_fake_upstreams::{FakeUpstreams, Profile};

use instance::Instance;
use processes::Processes;

pub use error::DemoError;

/// The options of `violetgate demo`.
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

/// The folder of the demo's files, which is removed when this value is dropped.
struct DemoFolder(PathBuf);

impl DemoFolder {
    fn create() -> Result<Self, DemoError> {
        let name = format!("violetgate-demo-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        create_folder(&path)?;
        Ok(DemoFolder(path))
    }
}

impl Drop for DemoFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn create_folder(path: &Path) -> Result<(), DemoError> {
    std::fs::create_dir_all(path).map_err(|error| DemoError::File {
        path: path.to_owned(),
        error,
    })
}

/// Runs the demo until it is interrupted or its gateways end.
///
/// # Errors
///
/// An address, a file or a process can't be used, or a gateway failed.
pub fn run(demo: &Demo) -> Result<(), DemoError> {
    let engines = FakeUpstreams::start(usize::from(demo.engines), Profile::default())
        .map_err(|error| DemoError::Engines(error.to_string()))?;
    let folder = DemoFolder::create()?;
    let program = std::env::current_exe().map_err(DemoError::Program)?;
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(DemoError::Signals)?;
    let instances: Vec<_> = (1..=demo.instances)
        .map(|number| Instance::new(demo, number, &folder.0))
        .collect();
    for instance in &instances {
        instance.check_addresses()?;
    }
    let mut processes = Processes::new(program);
    for instance in &instances {
        instance.write_files(&engines, &instances)?;
        processes.start(instance)?;
    }
    print!("{}", welcome::text(demo, &instances));
    let ended = async_io::block_on(async {
        let interrupted = async {
            signals.next().await;
            Ok(())
        };
        processes.watch().or(interrupted).await
    });
    let stopped = processes.stop();
    ended.and(stopped)
}

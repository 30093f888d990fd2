//! `make prove-run`: checks from outside that the program that `deploy/balancer.toml` names meets
//! the requirements of a platform on which the gateway runs, and which refuses some system calls.
//!
//! The program has to run as a single process, started by `exec` and without children, and be
//! linked dynamically against the C library. It must not use io_uring, splice or sendfile, nor open
//! a Unix socket to which other processes would have to connect.

mod linkage;
mod running;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use violetgate_acceptance::{exit_code, AcceptanceError, Result, Verdict};

/// Checks that the deployed program meets the platform's requirements.
#[derive(Parser)]
struct Arguments {
    /// Path of the deploy file
    #[arg(long, default_value = "deploy/balancer.toml")]
    deploy: PathBuf,
}

/// How the deploy file runs the program.
pub struct Deployment {
    /// The working folder of the command.
    root: PathBuf,
    /// The shell command that starts the program.
    command: String,
}

impl Deployment {
    fn read(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file)?;
        let deploy: toml::Table = text.parse().map_err(AcceptanceError::DeployFile)?;
        let command = deploy.get("run").and_then(toml::Value::as_str);
        let root = file.parent().and_then(Path::parent);
        let root = root.filter(|root| !root.as_os_str().is_empty());
        Ok(Deployment {
            root: root.unwrap_or(Path::new(".")).to_path_buf(),
            command: command.unwrap_or_default().to_owned(),
        })
    }

    /// Returns the program with which the last part of the command replaces the shell, or `None` if
    /// that part does not begin with `exec`.
    fn executed_program(&self) -> Option<PathBuf> {
        let last = self.command.rsplit(['&', ';']).next()?.trim();
        let program = last.strip_prefix("exec ")?.split_whitespace().next()?;
        Some(self.root.join(program))
    }
}

fn main() -> ExitCode {
    exit_code("prove-run", run(&Arguments::parse()))
}

fn run(arguments: &Arguments) -> Result<bool> {
    let deployment = Deployment::read(&arguments.deploy)?;
    let program = deployment.executed_program();
    let mut verdict = Verdict::default();
    verdict.exactly("run_ends_in_exec", u64::from(program.is_some()), 1);
    let program = program.unwrap_or_else(|| deployment.root.join(""));
    linkage::check(&program, &mut verdict)?;
    running::check(&deployment, &program, &mut verdict)?;
    Ok(verdict.print("run"))
}

//! `make prove-run`: what a platform that stands between a gateway and the machine requires of the
//! program that `deploy/balancer.toml` names, as far as it can be seen from outside.
//!
//! One process by `exec`, linked dynamically against the C library, no child, no io_uring, splice
//! or sendfile, and no Unix socket that others would have to connect to.

mod linkage;
mod running;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use violetgate_acceptance::{exit_code, AcceptanceError, Result, Verdict};

/// Holds the program that is deployed against what a platform asks of it.
#[derive(Parser)]
struct Arguments {
    /// The deploy file
    #[arg(long, default_value = "deploy/balancer.toml")]
    deploy: PathBuf,
}

/// What the deploy file says about running the program.
pub struct Deployment {
    /// The folder that the command is run in.
    root: PathBuf,
    /// The shell command.
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

    /// The program that the command's last part replaces the shell with.
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

//! The command line: parses the arguments, and runs the subcommand that they name.
//!
//! Most subcommands are implemented in other modules.

use std::fmt::Display;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

use crate::config::{Config, Overrides};
use crate::ctl::{self, Ctl, Members};
use crate::demo::{self, Demo};
use crate::serve::StartError;
use crate::{log, serve, settings};

/// A front end for query engines: PostgreSQL in front, one decision module inside.
///
/// Without a subcommand it serves. What the platform tells a front end comes by PROXY_CONFIG and its sisters
/// (see README.md); what its operators want beyond that stands in a settings file.
#[derive(Debug, Parser)]
#[command(name = "violetgate", version, max_term_width = 100)]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    serve: Serve,
}

/// Arguments of `serve`, which also apply without a subcommand.
#[derive(Debug, Default, clap::Args)]
struct Serve {
    /// The operators' settings (HCL); without it every setting has its default
    #[arg(long, value_name = "FILE", env = "VIOLETGATE_SETTINGS")]
    settings: Option<PathBuf>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve in the foreground (the default)
    Serve(Serve),
    /// Try it: a front end before stand-in engines on loopback, for psql and curl
    Demo(Demo),
    /// Validate a configuration without starting: a settings file (HCL), or the platform's (*.json)
    ///
    /// Every error is told at once, a line each, as FILE:LINE: KEY: TEXT. Exit code 0: it can be used; 1: it can't.
    Check {
        /// The file to validate
        file: PathBuf,
    },
    /// Read and change what a cluster of instances has agreed on
    Ctl(Ctl),
    /// Make members of a cluster, and change who belongs to it
    Members(Members),
    /// Print the reference of all settings as Markdown (docs/configuration.md holds it)
    Reference,
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// Parses the command line and runs its subcommand; without one, runs `serve`.
#[must_use]
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => start(&cli.serve),
        Some(Command::Serve(given)) => start(&Serve {
            settings: given.settings.or(cli.serve.settings),
        }),
        Some(Command::Demo(given)) => finish(demo::run(&given)),
        Some(Command::Ctl(given)) => finish(ctl::run(&given)),
        Some(Command::Members(given)) => finish(ctl::members(&given)),
        Some(Command::Check { file }) => check(&file),
        Some(Command::Reference) => print(&settings::reference()),
        Some(Command::Completions { shell }) => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "violetgate", &mut text);
            print(&String::from_utf8_lossy(&text))
        }
    }
}

/// Returns the exit code for a command's result, and prints its error to standard error.
fn finish(result: Result<(), impl Display>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => print_error(&format!("violetgate: {error}")),
    }
}

/// Writes to standard output. A closed pipe (`| head`) is not a failure.
fn print(text: &str) -> ExitCode {
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

fn start(serve: &Serve) -> ExitCode {
    let file = serve.settings.as_deref();
    let settings = settings::read(file);
    let log_settings = settings
        .as_ref()
        .map(|settings| settings.log.clone())
        .unwrap_or_default();
    let log = log::start(log_settings.format, log_settings.lines_waiting);
    let served = settings
        .map_err(StartError::from)
        .and_then(|settings| serve::run(&settings, file));
    let dropped = log::dropped_lines();
    if dropped > 0 {
        log::write_line(format_args!(
            "violetgate dropped {dropped} log lines, as nobody read them"
        ));
    }
    let code = match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::write_line(format_args!("violetgate: {error}"));
            ExitCode::FAILURE
        }
    };
    drop(log);
    code
}

fn check(file: &Path) -> ExitCode {
    let errors = configuration_errors(file);
    if errors.is_empty() {
        return print(&format!("{}: can be used\n", file.display()));
    }
    print_error(&errors.join("\n"))
}

/// Returns all errors of a settings file, or the first error of the platform's configuration if
/// the file's extension is `json`. Each is one line.
fn configuration_errors(file: &Path) -> Vec<String> {
    let name = file.display();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return vec![format!("{name}: {error}")],
    };
    let extension = file.extension();
    if extension.is_some_and(|extension| extension.eq_ignore_ascii_case("json")) {
        let error = Config::parse(&text, Overrides::default()).err();
        return error
            .into_iter()
            .map(|error| format!("{name}: {error}"))
            .collect();
    }
    let errors = settings::parse(&text).err().unwrap_or_default();
    errors
        .iter()
        .map(|error| format!("{name}:{error}"))
        .collect()
}

fn print_error(text: &str) -> ExitCode {
    let _ = std::io::stderr()
        .lock()
        .write_all(format!("{text}\n").as_bytes());
    ExitCode::FAILURE
}

#[cfg(test)]
mod tests;

//! The command line. It parses, starts the log and hands over; it must never hold what a subcommand does.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

use crate::config::Config;
use crate::ctl::{self, Ctl, Members};
use crate::demo::{self, Demo};
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

/// What `serve` takes, with or without the word.
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
        /// The file
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

/// Runs what the command line asks for.
#[must_use]
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => start(&cli.serve),
        Some(Command::Serve(given)) => start(&Serve {
            settings: given.settings.or(cli.serve.settings),
        }),
        Some(Command::Demo(given)) => ended(demo::run(&given)),
        Some(Command::Ctl(given)) => ended(ctl::run(&given)),
        Some(Command::Members(given)) => ended(ctl::members(&given)),
        Some(Command::Check { file }) => check(&file),
        Some(Command::Reference) => print(&settings::reference()),
        Some(Command::Completions { shell }) => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "violetgate", &mut text);
            print(&String::from_utf8_lossy(&text))
        }
    }
}

fn ended(done: Result<(), String>) -> ExitCode {
    done.map_or_else(
        |what| complain(&format!("violetgate: {what}")),
        |()| ExitCode::SUCCESS,
    )
}

/// Writes to standard output; a reader that has gone (`| head`) is no failure.
fn print(text: &str) -> ExitCode {
    let _ = std::io::stdout().lock().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

fn start(given: &Serve) -> ExitCode {
    let file = given.settings.as_deref();
    let read = settings::read(file);
    let chosen = read.as_ref().map(|s| s.log.clone()).unwrap_or_default();
    let log = log::start(chosen.format, chosen.lines_waiting);
    let done = read.and_then(|settings| serve::run(&settings, file));
    if log::lost() > 0 {
        log::line(format_args!(
            "violetgate lost {} log lines, as nobody took them",
            log::lost()
        ));
    }
    let code = done.map_or_else(
        |what| {
            log::line(format_args!("violetgate: {what}"));
            ExitCode::FAILURE
        },
        |()| ExitCode::SUCCESS,
    );
    drop(log);
    code
}

fn check(file: &Path) -> ExitCode {
    let problems = match std::fs::read_to_string(file) {
        Err(e) => vec![format!("{}: {e}", file.display())],
        Ok(text)
            if file
                .extension()
                .is_some_and(|e| e.eq_ignore_ascii_case("json")) =>
        {
            let read = Config::parse(&text, None, None, None).err();
            read.into_iter()
                .map(|e| format!("{}: {e}", file.display()))
                .collect()
        }
        Ok(text) => match settings::parse(&text) {
            Ok(_) => Vec::new(),
            Err(problems) => problems
                .iter()
                .map(|p| format!("{}:{p}", file.display()))
                .collect(),
        },
    };
    if problems.is_empty() {
        return print(&format!("{}: can be used\n", file.display()));
    }
    complain(&problems.join("\n"))
}

fn complain(text: &str) -> ExitCode {
    let _ = std::io::stderr()
        .lock()
        .write_all(format!("{text}\n").as_bytes());
    ExitCode::FAILURE
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The definition holds together, and `serve` may be left out.
    #[test]
    fn the_command_line_is_well_formed() {
        Cli::command().debug_assert();
        for args in [
            &["violetgate"][..],
            &["violetgate", "serve", "--settings", "x.hcl"],
        ] {
            assert!(Cli::try_parse_from(args).is_ok(), "{args:?}");
        }
        assert!(Cli::try_parse_from(["violetgate", "sreve"]).is_err());
    }
}

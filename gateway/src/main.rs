//! The `violetgate` program. All code is in the library; `violetgate --help` lists the commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    violetgate::cli::main()
}

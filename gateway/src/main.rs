//! The program: everything is in the library; see `violetgate --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    violetgate::cli::main()
}

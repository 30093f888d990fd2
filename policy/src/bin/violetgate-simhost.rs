//! Runs the decision module for the simulator. Reads lines from standard input until it ends, and
//! writes one reply for each line to standard output.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use violetgate_policy::wire::{Adapter, WireError};

/// The reason why the program ends before its input does.
#[derive(Debug, thiserror::Error)]
enum HostError {
    /// A line could not be read from standard input.
    #[error("line {number}: {error}")]
    Read {
        /// The number of the line, from 1.
        number: u64,
        #[source]
        error: io::Error,
    },
    /// A line is malformed.
    #[error("line {number}: {error}")]
    Malformed {
        /// The number of the line, from 1.
        number: u64,
        #[source]
        error: WireError,
    },
    /// A reply could not be written to standard output.
    #[error("cannot write a reply to standard output: {0}")]
    Write(#[source] io::Error),
}

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("violetgate-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), HostError> {
    let mut adapter = Adapter::new();
    let mut line = String::new();
    for number in 1u64.. {
        line.clear();
        let read = input.read_line(&mut line);
        if read.map_err(|error| HostError::Read { number, error })? == 0 {
            break;
        }
        let reply = adapter.line(&line);
        let reply = reply.map_err(|error| HostError::Malformed { number, error })?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(HostError::Write)?;
    }
    Ok(())
}

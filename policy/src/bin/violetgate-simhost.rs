//! Links the decision module to the simulator: one line in, one line out, until input ends.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use violetgate_policy::wire::Adapter;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("violetgate-simhost: {what}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::new();
    let mut line = String::new();
    for number in 1u64.. {
        line.clear();
        if input
            .read_line(&mut line)
            .map_err(|e| format!("line {number}: {e}"))?
            == 0
        {
            break;
        }
        let reply = adapter
            .line(&line)
            .map_err(|e| format!("line {number}: {e}"))?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(|e| e.to_string())?;
    }
    Ok(())
}

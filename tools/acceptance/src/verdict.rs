//! The figures of an acceptance test, and the check of each against its bound.

use std::fmt::Display;
use std::process::ExitCode;

use crate::Result;

/// Collects the figures of a test and reports the bounds that they miss.
#[derive(Default)]
pub struct Verdict {
    figures: Vec<String>,
    missed: Vec<String>,
}

impl Verdict {
    /// Adds a figure to the last line, without a bound.
    pub fn figure(&mut self, name: &str, value: impl Display) {
        self.figures.push(format!("{name}={value}"));
    }

    /// Adds a figure that has to be at most `most`.
    pub fn at_most(&mut self, name: &str, value: f64, most: f64) {
        self.figures.push(format!("{name}={value:.3}"));
        if value.is_nan() || value > most {
            self.missed
                .push(format!("{name} is {value:.3}, must be at most {most}"));
        }
    }

    /// Adds a count that has to be exactly `wanted`.
    pub fn exactly(&mut self, name: &str, value: u64, wanted: u64) {
        self.figures.push(format!("{name}={value}"));
        if value != wanted {
            self.missed
                .push(format!("{name} is {value}, must be {wanted}"));
        }
    }

    /// Adds a figure that has to be at least `least`.
    pub fn at_least(&mut self, name: &str, value: f64, least: f64) {
        self.figures.push(format!("{name}={value:.3}"));
        if value.is_nan() || value < least {
            self.missed
                .push(format!("{name} is {value:.3}, must be at least {least}"));
        }
    }

    /// Prints a line for each missed bound, then the line of all figures. Returns whether every
    /// bound held.
    #[must_use]
    pub fn print(&self, name: &str) -> bool {
        for missed in &self.missed {
            println!("MISSED: {missed}");
        }
        println!("{name}: {}", self.figures.join(" "));
        self.missed.is_empty()
    }
}

/// Returns the exit code of a test: success if all bounds held. If the test could not run, prints
/// the error.
#[must_use]
pub fn exit_code(name: &str, passed: Result<bool>) -> ExitCode {
    match passed {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            println!("{name} could not run: {error}");
            ExitCode::FAILURE
        }
    }
}

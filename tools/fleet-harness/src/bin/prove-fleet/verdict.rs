//! The measured figures, and the bounds that were missed.

use std::time::Duration;

#[derive(Default)]
pub struct Verdict {
    pub figures: Vec<String>,
    pub missed: Vec<String>,
}

impl Verdict {
    /// Records a time, and a miss if it is greater than `bound`. `None`, for something that did not
    /// happen, misses any bound.
    pub fn check_time(&mut self, name: &str, took: Option<Duration>, bound: Duration) {
        let millis = took.map_or(-1, |took| took.as_millis() as i64);
        println!("  {name}: {millis} ms");
        self.figures.push(format!("{name}_ms={millis}"));
        if took.is_none_or(|took| took > bound) {
            self.missed
                .push(format!("{name}: {took:?}, must be at most {bound:?}"));
        }
    }

    /// Records a count, and a miss if it is greater than `bound`.
    pub fn check_count(&mut self, name: &str, count: usize, bound: usize) {
        println!("  {name}: {count}");
        self.figures.push(format!("{name}={count}"));
        if count > bound {
            self.missed
                .push(format!("{name}: {count}, must be at most {bound}"));
        }
    }
}

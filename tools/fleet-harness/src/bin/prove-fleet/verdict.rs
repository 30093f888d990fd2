//! What was measured, and which bounds were missed.

use std::time::Duration;

#[derive(Default)]
pub struct Verdict {
    pub figures: Vec<String>,
    pub missed: Vec<String>,
}

impl Verdict {
    /// Records how long something took; it has to be at most `bound`, and `None` misses any.
    pub fn check_time(&mut self, name: &str, took: Option<Duration>, bound: Duration) {
        let millis = took.map_or(-1, |took| took.as_millis() as i64);
        println!("  {name}: {millis} ms");
        self.figures.push(format!("{name}_ms={millis}"));
        if took.is_none_or(|took| took > bound) {
            self.missed
                .push(format!("{name}: {took:?}, {bound:?} at most"));
        }
    }

    /// Records a count; it has to be at most `bound`.
    pub fn check_count(&mut self, name: &str, count: usize, bound: usize) {
        println!("  {name}: {count}");
        self.figures.push(format!("{name}={count}"));
        if count > bound {
            self.missed
                .push(format!("{name}: {count}, {bound} at most"));
        }
    }
}

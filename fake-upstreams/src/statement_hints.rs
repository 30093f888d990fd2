//! Hints in a statement say what an engine is to do.
//!
//! | hint | meaning |
//! | --- | --- |
//! | `ms=20` | works for 20 ms |
//! | `rows=300` | answers with 300 rows |
//! | `width=40` | of about 40 bytes each |
//! | `fail` | answers with an error |
//! | `notes=20` | reports its progress each 20 ms |
//! | `untold` | does not report its cost |
//!
//! A statement without hints works for 2 ms and has 3 rows.

/// The longest page, in bytes, by the protocol.
pub const MAX_PAGE_BYTES: usize = 6_000;
/// The longest result, in bytes, by the protocol.
pub const MAX_RESULT_BYTES: usize = 48_000;

/// What a statement asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatementHints {
    /// How long it works on one core, in milliseconds.
    pub work_ms: u64,
    /// Rows of the result.
    pub rows: usize,
    /// Bytes of a row, about.
    pub row_bytes: usize,
    /// Whether it fails.
    pub fails: bool,
    /// Time between two reports of progress in milliseconds; 0 for none.
    pub progress_interval_ms: u64,
    /// Whether its answer does not report what it cost.
    pub hides_cost: bool,
}

impl Default for StatementHints {
    fn default() -> Self {
        StatementHints {
            work_ms: 2,
            rows: 3,
            row_bytes: 0,
            fails: false,
            progress_interval_ms: 0,
            hides_cost: false,
        }
    }
}

impl StatementHints {
    /// Reads the hints of a statement.
    #[must_use]
    pub fn parse(statement: &str) -> Self {
        let mut hints = StatementHints::default();
        for word in statement.split(|c: char| c.is_whitespace() || c == ',') {
            let (name, value) = word.split_once('=').unwrap_or((word, ""));
            let digits = value.trim_end_matches(|c: char| !c.is_ascii_digit());
            match (name, digits.parse::<u64>()) {
                ("ms", Ok(millis)) => hints.work_ms = millis,
                ("rows", Ok(rows)) => hints.rows = rows as usize,
                ("width", Ok(bytes)) => hints.row_bytes = bytes as usize,
                ("fail", _) => hints.fails = true,
                ("notes", Ok(millis)) => hints.progress_interval_ms = millis,
                ("untold", _) => hints.hides_cost = true,
                _ => {}
            }
        }
        hints
    }

    /// The pages of the result. A row has the request's id, the attempt's mark and its number from
    /// 0, so that rows of two attempts, and rows that are missing or doubled, can be recognized.
    #[must_use]
    pub fn pages(&self, request_id: &str, attempt_mark: &str) -> Vec<String> {
        let mut pages = vec![String::new()];
        let mut result_bytes = 0;
        for number in 0..self.rows {
            let mut row = format!("{request_id}\t{attempt_mark}\t{number}");
            while row.len() + 1 < self.row_bytes {
                row.push('.');
            }
            row.push('\n');
            result_bytes += row.len();
            if result_bytes > MAX_RESULT_BYTES {
                break;
            }
            match pages.last_mut() {
                Some(page) if page.len() + row.len() <= MAX_PAGE_BYTES => page.push_str(&row),
                _ => pages.push(row),
            }
        }
        pages
    }
}

#[cfg(test)]
mod tests;

//! Hints in a statement, which tell a fake engine how to execute it.
//!
//! | hint | meaning |
//! | --- | --- |
//! | `ms=20` | takes 20 ms |
//! | `rows=300` | returns 300 rows |
//! | `width=40` | pads rows to about 40 bytes |
//! | `fail` | fails with an error |
//! | `notes=20` | reports progress every 20 ms |
//! | `untold` | does not report its cost |
//!
//! A statement without hints takes 2 ms and returns 3 rows.

/// Maximum size of a page in the line protocol, in bytes.
pub const MAX_PAGE_BYTES: usize = 6_000;
/// Maximum size of a result in the line protocol, in bytes. Rows beyond it are omitted.
pub const MAX_RESULT_BYTES: usize = 48_000;

/// The hints of one statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatementHints {
    /// Execution time on a warm engine, in milliseconds.
    pub work_ms: u64,
    /// Number of rows in the result.
    pub rows: usize,
    /// Size to which rows are padded, in bytes; 0 for no padding.
    pub row_bytes: usize,
    /// Whether the statement fails with an error.
    pub fails: bool,
    /// Time between progress reports, in milliseconds; 0 for no reports.
    pub progress_interval_ms: u64,
    /// Whether the answer omits the cost.
    pub omits_cost: bool,
}

impl Default for StatementHints {
    fn default() -> Self {
        StatementHints {
            work_ms: 2,
            rows: 3,
            row_bytes: 0,
            fails: false,
            progress_interval_ms: 0,
            omits_cost: false,
        }
    }
}

impl StatementHints {
    /// Parses the hints in a statement. Words that are not hints are ignored.
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
                ("untold", _) => hints.omits_cost = true,
                _ => {}
            }
        }
        hints
    }

    /// Returns the pages of the result. The columns of a row are the request's id, the execution's
    /// id and the row's number, which starts at 0, so that a test can detect mixed attempts and
    /// missing or duplicate rows.
    #[must_use]
    pub fn pages(&self, request_id: &str, execution_id: &str) -> Vec<String> {
        let mut pages = vec![String::new()];
        let mut result_bytes = 0;
        for number in 0..self.rows {
            let mut row = format!("{request_id}\t{execution_id}\t{number}");
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

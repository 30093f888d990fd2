//! What a statement asks of a stand-in engine, told by hints in it: `ms=20` of work, `rows=300` of about
//! `width=40` bytes each, `fail` for an error, `notes=20` for a note of progress each 20 ms, `untold` for an answer
//! that does not tell its cost. A statement without hints takes 2 ms and gives 3 rows.

/// The most bytes of a page, as the protocol has it.
pub const PAGE: usize = 6_000;
/// The most bytes of a result, as the protocol has it.
pub const RESULT: usize = 48_000;

/// What one statement asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// Milliseconds on one core.
    pub ms: u64,
    /// Rows of the result.
    pub rows: usize,
    /// Bytes a row, about.
    pub width: usize,
    /// It fails.
    pub fails: bool,
    /// Milliseconds between notes of progress; 0: there are none.
    pub notes: u64,
    /// Its answer does not tell what it cost.
    pub untold: bool,
}

impl Work {
    /// Reads the hints of a statement.
    #[must_use]
    pub fn of(statement: &str) -> Self {
        let mut work = Work {
            ms: 2,
            rows: 3,
            width: 0,
            fails: false,
            notes: 0,
            untold: false,
        };
        for word in statement.split(|c: char| c.is_whitespace() || c == ',') {
            let (name, value) = word.split_once('=').unwrap_or((word, ""));
            let number = value
                .trim_end_matches(|c: char| !c.is_ascii_digit())
                .parse::<u64>();
            match (name, number) {
                ("ms", Ok(ms)) => work.ms = ms,
                ("rows", Ok(rows)) => work.rows = rows as usize,
                ("width", Ok(width)) => work.width = width as usize,
                ("fail", _) => work.fails = true,
                ("notes", Ok(ms)) => work.notes = ms,
                ("untold", _) => work.untold = true,
                _ => {}
            }
        }
        work
    }

    /// The pages of the result: rows of the request's id, the attempt's mark and the row's number from 0, so
    /// that rows of two attempts, or rows lost or doubled, can be told apart.
    #[must_use]
    pub fn pages(&self, rid: &str, mark: &str) -> Vec<String> {
        let (mut pages, mut bytes) = (vec![String::new()], 0);
        for row in 0..self.rows {
            let mut line = format!("{rid}\t{mark}\t{row}");
            while line.len() + 1 < self.width {
                line.push('.');
            }
            line.push('\n');
            bytes += line.len();
            if bytes > RESULT {
                break;
            }
            match pages.last_mut() {
                Some(page) if page.len() + line.len() <= PAGE => page.push_str(&line),
                _ => pages.push(line),
            }
        }
        pages
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Pages hold whole rows, in order and none twice, within the protocol's bounds.
    #[test]
    fn pages_hold_whole_rows() {
        let work = Work::of("SELECT day FROM sales_3.plan /* ms=7 rows=500 width=60 */");
        assert_eq!(
            work,
            Work {
                ms: 7,
                rows: 500,
                width: 60,
                fails: false,
                notes: 0,
                untold: false
            }
        );
        let pages = work.pages("00000000000000a1", "e-1/1");
        assert!(pages.len() == 5 && pages.iter().all(|p| p.len() <= PAGE && p.ends_with('\n')));
        let rows: Vec<_> = pages.iter().flat_map(|p| p.lines()).collect();
        assert_eq!(rows.len(), 500);
        for (n, row) in rows.iter().enumerate() {
            assert!(
                row.starts_with(&format!("00000000000000a1\te-1/1\t{n}.")),
                "{row}"
            );
        }
    }
}

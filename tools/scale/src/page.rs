//! Generates the tables in docs/CAPACITY.md from the saved figures of a `prove-scale` run, and
//! checks that the page matches them.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use crate::error::ScaleError;

/// The mark at which the generated block begins.
pub const BEGIN: &str = "<!-- figures: begin -->";
/// The mark at which the generated block ends.
pub const END: &str = "<!-- figures: end -->";
/// The prefix of the line that holds the figures.
const LINE_PREFIX: &str = "scale:";
/// The suffix of the figure with a fitted cost's shape. Each fitted cost has this figure.
const SHAPE: &str = "_shape";

/// The figures of a saved run, by name.
#[derive(Debug)]
pub struct SavedFigures(BTreeMap<String, String>);

/// The size at which a cost exceeds its budget.
#[derive(Debug, Clone, Copy)]
struct Limit<'a> {
    size: &'a str,
    /// The unit of the size, such as `engines`.
    size_of: &'a str,
}

/// A cost that was measured at one size.
#[derive(Debug, Clone, Copy)]
struct Measurement<'a> {
    size: u64,
    cost: &'a str,
}

/// One fitted cost: a row of the first table. Values are the texts of the saved figures.
#[derive(Debug, Default)]
struct Row<'a> {
    /// The measured costs by size.
    measured: Vec<Measurement<'a>>,
    unit: &'a str,
    intercept: &'a str,
    intercept_error: &'a str,
    slope: &'a str,
    slope_error: &'a str,
    r_squared: &'a str,
    shape: &'a str,
    /// The size at which the budget is exceeded, if the cost has a budget.
    limit: Option<Limit<'a>>,
}

impl SavedFigures {
    /// Parses the figures of a saved run from its last line that begins with `scale:`. Returns
    /// `None` if there is no such line, or if a word of it is not of the form `key=value`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let line = text
            .lines()
            .rev()
            .find_map(|line| line.strip_prefix(LINE_PREFIX))?;
        let pair = |word: &str| {
            word.split_once('=')
                .map(|(key, value)| (key.to_owned(), value.to_owned()))
        };
        line.split_whitespace()
            .map(pair)
            .collect::<Option<_>>()
            .map(SavedFigures)
    }

    /// Renders the block, without its marks.
    #[must_use]
    pub fn render(&self) -> String {
        let names = self.0.keys().filter_map(|key| key.strip_suffix(SHAPE));
        let names: Vec<&str> = names.collect();
        let mut rows: BTreeMap<&str, Row> =
            names.iter().map(|name| (*name, Row::default())).collect();
        let mut others = Vec::new();
        for (key, value) in &self.0 {
            // A name can be the prefix of another, so the longest match is used.
            let found = names
                .iter()
                .filter_map(|name| Some((*name, suffix(key, name)?)));
            let found = found.max_by_key(|(name, _)| name.len());
            let taken = found.and_then(|(name, part)| rows.get_mut(name)?.store(part, value));
            if taken.is_none() {
                others.push((key, value));
            }
        }
        let mut block = String::from(
            "| cost | unit | measured | fit: at 0 + for each | shape, R2 | passes its budget at |\n\
             | --- | --- | --- | --- | --- | --- |\n",
        );
        rows.iter_mut()
            .for_each(|(name, row)| row.write(name, &mut block));
        block.push_str("\n| figure | value |\n| --- | --- |\n");
        others.iter().for_each(|(key, value)| {
            let _ = writeln!(block, "| {key} | {value} |");
        });
        block
    }
}

/// Returns the rest of `key` after a cost's name and an underscore.
fn suffix<'a>(key: &'a str, name: &str) -> Option<&'a str> {
    key.strip_prefix(name)?.strip_prefix('_')
}

impl<'a> Row<'a> {
    /// Stores one figure of the cost. Returns `None` if it is not a figure of a fit.
    fn store(&mut self, part: &'a str, value: &'a str) -> Option<()> {
        if let Some(size_of) = part.strip_prefix("breaks_at_") {
            self.limit = Some(Limit {
                size: value,
                size_of,
            });
        } else if let Some(at) = part.strip_prefix("at_") {
            let (size, unit) = at.split_once('_')?;
            let size = size.parse().ok()?;
            self.measured.push(Measurement { size, cost: value });
            self.unit = unit;
        } else if part.starts_with("intercept_error_") {
            self.intercept_error = value;
        } else if part.starts_with("intercept_") {
            self.intercept = value;
        } else if part.starts_with("slope_error_") {
            self.slope_error = value;
        } else if part.starts_with("slope_") {
            self.slope = value;
        } else {
            match part {
                "r_squared" => self.r_squared = value,
                "shape" => self.shape = value,
                _ => return None,
            }
        }
        Some(())
    }

    fn write(&mut self, name: &str, block: &mut String) {
        self.measured.sort_unstable_by_key(|point| point.size);
        let measured: Vec<_> = self
            .measured
            .iter()
            .map(|point| format!("{}: {}", point.size, point.cost))
            .collect();
        let limit = self.limit.map_or_else(String::new, |limit| {
            format!("{} {}", limit.size, limit.size_of)
        });
        let Row {
            unit,
            intercept,
            intercept_error,
            slope,
            slope_error,
            r_squared,
            shape,
            ..
        } = self;
        let _ = writeln!(
            block,
            "| {name} | {unit} | {} | {intercept} (±{intercept_error}) + {slope} (±{slope_error}) | {shape}, \
             {r_squared} | {limit} |",
            measured.join(", ")
        );
    }
}

/// Returns the page with `block` between the marks. Returns `None` if a mark is missing or the
/// marks are in the wrong order.
#[must_use]
pub fn with_block(page: &str, block: &str) -> Option<String> {
    let (before, rest) = page.split_once(BEGIN)?;
    let (_, after) = rest.split_once(END)?;
    Some(format!("{before}{BEGIN}\n{block}{END}{after}"))
}

fn read(file: &Path) -> Result<String, ScaleError> {
    std::fs::read_to_string(file).map_err(|e| page_error(file, e.to_string()))
}

fn page_error(file: &Path, reason: impl Into<String>) -> ScaleError {
    ScaleError::Page {
        file: file.to_owned(),
        reason: reason.into(),
    }
}

/// Reads the page, and returns its current text and the text that matches the saved figures.
fn current_and_wanted(page: &Path, figures: &Path) -> Result<(String, String), ScaleError> {
    let saved = SavedFigures::parse(&read(figures)?);
    let saved = saved.ok_or_else(|| {
        page_error(
            figures,
            "has no line of the form `scale: key=value ...`; save the last line of a run there",
        )
    })?;
    let text = read(page)?;
    let wanted = with_block(&text, &saved.render()).ok_or_else(|| {
        page_error(
            page,
            format!("has no block between {BEGIN} and {END}; add both lines"),
        )
    })?;
    Ok((text, wanted))
}

/// Checks that a page matches the figures of a saved run.
///
/// # Errors
///
/// Returns an error if the page differs from them, or if one of the files can't be used.
pub fn check(page: &Path, figures: &Path) -> Result<(), ScaleError> {
    let (text, wanted) = current_and_wanted(page, figures)?;
    if text == wanted {
        return Ok(());
    }
    let line = text
        .lines()
        .zip(wanted.lines())
        .take_while(|(line, wanted)| line == wanted)
        .count()
        + 1;
    Err(page_error(
        page,
        format!("line {line} differs from the saved figures; rewrite the block with --write"),
    ))
}

/// Writes the figures of a saved run into a page.
///
/// # Errors
///
/// Returns an error if one of the files can't be used.
pub fn rewrite(page: &Path, figures: &Path) -> Result<(), ScaleError> {
    let (_, wanted) = current_and_wanted(page, figures)?;
    std::fs::write(page, wanted).map_err(|e| page_error(page, e.to_string()))
}

//! The generated block of docs/CAPACITY.md: tables of the figures that a run of `prove-scale` gave,
//! and the check that the page still holds them.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use crate::error::ScaleError;

/// Where the block begins and ends.
pub const BEGIN: &str = "<!-- figures: begin -->";
/// See [`BEGIN`].
pub const END: &str = "<!-- figures: end -->";
/// What the saved line begins with.
const LINE: &str = "scale:";
/// What the name of a fitted cost's shape ends in; each fitted cost has one.
const SHAPE: &str = "_shape";

/// The figures of a saved run, by name.
#[derive(Debug)]
pub struct Saved(BTreeMap<String, String>);

/// The size at which a cost passes its budget.
#[derive(Debug, Clone, Copy)]
struct Limit<'a> {
    size: &'a str,
    /// What sizes count.
    size_of: &'a str,
}

/// One measured cost.
#[derive(Debug, Clone, Copy)]
struct Measurement<'a> {
    size: u64,
    cost: &'a str,
}

/// One fitted cost.
#[derive(Debug, Default)]
struct Row<'a> {
    /// Costs by size, as measured.
    measured: Vec<Measurement<'a>>,
    unit: &'a str,
    intercept: &'a str,
    intercept_error: &'a str,
    slope: &'a str,
    slope_error: &'a str,
    r_squared: &'a str,
    shape: &'a str,
    /// Where the budget is passed.
    limit: Option<Limit<'a>>,
}

impl Saved {
    /// Reads the figures of a saved run: of its last line that begins with `scale:`. `None`: there
    /// is none, or one of its figures is no `key=value`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let line = text
            .lines()
            .rev()
            .find_map(|line| line.strip_prefix(LINE))?;
        let pair = |word: &str| {
            word.split_once('=')
                .map(|(key, value)| (key.to_owned(), value.to_owned()))
        };
        line.split_whitespace()
            .map(pair)
            .collect::<Option<_>>()
            .map(Saved)
    }

    /// The block, without its marks.
    #[must_use]
    pub fn render(&self) -> String {
        let names = self.0.keys().filter_map(|key| key.strip_suffix(SHAPE));
        let names: Vec<&str> = names.collect();
        let mut rows: BTreeMap<&str, Row> =
            names.iter().map(|name| (*name, Row::default())).collect();
        let mut others = Vec::new();
        for (key, value) in &self.0 {
            // The longest name: one may begin with another.
            let found = names
                .iter()
                .filter_map(|name| Some((*name, suffix(key, name)?)));
            let found = found.max_by_key(|(name, _)| name.len());
            let taken = found.and_then(|(name, part)| rows.get_mut(name)?.take(part, value));
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

/// What follows a cost's name and an underscore.
fn suffix<'a>(key: &'a str, name: &str) -> Option<&'a str> {
    key.strip_prefix(name)?.strip_prefix('_')
}

impl<'a> Row<'a> {
    /// Takes one of the cost's figures; `None`: it is none of the kinds that a fit gives.
    fn take(&mut self, part: &'a str, value: &'a str) -> Option<()> {
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

/// A page with another block between the marks. `None`: the page lacks a mark, or they stand in the
/// wrong order.
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

/// The page as it is, and as it has to be.
fn current_and_wanted(page: &Path, figures: &Path) -> Result<(String, String), ScaleError> {
    let saved = Saved::parse(&read(figures)?);
    let saved = saved.ok_or_else(|| {
        page_error(
            figures,
            "holds no line `scale: key=value ...`; save the last line of a run there",
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

/// Checks that a page holds the figures of a saved run.
///
/// # Errors
///
/// It holds others, or one of the files can't be used.
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
        format!("line {line} differs from the saved figures; rewrite it with --write"),
    ))
}

/// Puts the figures of a saved run into a page.
///
/// # Errors
///
/// One of the files can't be used.
pub fn rewrite(page: &Path, figures: &Path) -> Result<(), ScaleError> {
    let (_, wanted) = current_and_wanted(page, figures)?;
    std::fs::write(page, wanted).map_err(|e| page_error(page, e.to_string()))
}

//! Tests of the page's generated block, and of the order of capacity limits.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use violetgate_scale::figures::{CapacityLimit, Figures};
use violetgate_scale::page::{with_block, SavedFigures, BEGIN, END};
use violetgate_scale::slope::{Budget, Slope};

fn slope() -> Slope {
    let mut slope = Slope {
        role: "decisions",
        name: "statement",
        unit: "us",
        size_of: "engines",
        budget: Some(Budget {
            cost: 500.0,
            target: 12_000.0,
        }),
        points: Vec::new(),
    };
    for size in [80.0, 300.0, 1_000.0, 4_000.0, 12_000.0] {
        slope.push(size, 20.0 + 0.48 * size);
    }
    slope
}

const SAVED: &str = "a run's other lines
scale: decisions_statement_at_1000_us=500 decisions_statement_at_300_us=164 decisions_statement_breaks_at_engines=1001 \
decisions_statement_count=3 decisions_statement_intercept_error_us=1.50 decisions_statement_intercept_us=20.0 \
decisions_statement_r_squared=0.998 decisions_statement_shape=line decisions_statement_slope_error_us=0.0200 \
decisions_statement_slope_us=0.480
";

#[test]
fn saved_figures_are_rendered_as_rows() {
    let wanted = "| cost | unit | measured | fit: at 0 + for each | shape, R2 | passes its budget at |
| --- | --- | --- | --- | --- | --- |
| decisions_statement | us | 300: 164, 1000: 500 | 20.0 (±1.50) + 0.480 (±0.0200) | line, 0.998 | 1001 engines |

| figure | value |
| --- | --- |
| decisions_statement_count | 3 |
";
    assert_eq!(SavedFigures::parse(SAVED).unwrap().render(), wanted);
}

/// Every figure of a recorded slope is shown in its row, and none is left for the second table.
#[test]
fn a_recorded_slope_fills_its_row() {
    let mut figures = Figures::default();
    slope().record(&mut figures);
    let block = SavedFigures::parse(&figures.line("scale"))
        .unwrap()
        .render();
    let row = block
        .lines()
        .find(|line| line.starts_with("| decisions_statement |"))
        .unwrap();
    assert!(
        row.split('|')
            .skip(1)
            .take(6)
            .all(|cell| !cell.trim().is_empty()),
        "{row}"
    );
    assert!(row.ends_with("| 1000 engines |"), "{row}");
    assert!(
        block.ends_with("| figure | value |\n| --- | --- |\n"),
        "{block}"
    );
}

#[test]
fn only_the_block_between_the_marks_is_replaced() {
    let page = format!("# Title\n{BEGIN}\nold\n{END}\nrest\n");
    let wanted = with_block(&page, "new\n").unwrap();
    assert_eq!(wanted, format!("# Title\n{BEGIN}\nnew\n{END}\nrest\n"));
    assert_eq!(with_block(&wanted, "new\n"), Some(wanted.clone()));
    assert_eq!(with_block("no marks", "new\n"), None);
    assert_eq!(with_block(&format!("{END}{BEGIN}"), "new\n"), None);
}

#[test]
fn text_without_a_valid_line_of_figures_is_refused() {
    assert!(SavedFigures::parse("").is_none());
    assert!(SavedFigures::parse("scale: a=1 b").is_none());
    assert!(SavedFigures::parse("scale: a=1\nscale: b=2")
        .unwrap()
        .render()
        .contains("| b | 2 |"));
}

#[test]
fn the_smallest_fraction_of_its_target_comes_first() {
    let mut figures = Figures::default();
    let limit = |name: &str, size, target| CapacityLimit {
        name: name.to_owned(),
        size,
        size_of: "engines",
        target,
    };
    figures.add_limit(limit("never", None, 10.0));
    figures.add_limit(limit("half", Some(6_000.0), 12_000.0));
    figures.add_limit(limit("hundredth", Some(76.0), 7_600.0));
    let order: Vec<_> = figures
        .limits()
        .iter()
        .map(|limit| limit.name.clone())
        .collect();
    assert_eq!(order, ["hundredth", "half", "never"]);
}

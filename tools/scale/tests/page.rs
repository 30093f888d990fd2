//! The page's block follows the saved figures, and roles are told in the order in which they end.
#![allow(clippy::unwrap_used)]

use violetgate_scale::figures::{Break, Figures};
use violetgate_scale::page::{with_block, Saved, BEGIN, END};
use violetgate_scale::slope::{Budget, Slope};

fn slope() -> Slope {
    let mut slope = Slope {
        role: "decisions",
        name: "statement",
        unit: "us",
        size_of: "engines",
        budget: Some(Budget { cost: 500.0, target: 12_000.0 }),
        points: Vec::new(),
    };
    for size in [80.0, 300.0, 1_000.0, 4_000.0, 12_000.0] {
        slope.push(size, 20.0 + 0.48 * size);
    }
    slope
}

#[test]
fn a_recorded_slope_is_rendered_as_one_row() {
    let mut figures = Figures::default();
    slope().record(&mut figures);
    figures.add("decisions_statement_count", 3);
    let saved = Saved::parse(&format!("noise\n{}\n", figures.line("scale"))).unwrap();
    let block = saved.render();
    let row = "| decisions_statement | us | 80: 58.4, 300: 164, 1000: 500, 4000: 1940, 12000: 5780 | 20.0 (±";
    assert!(block.contains(row), "{block}");
    assert!(block.contains(" + 0.480 (±") && block.contains("| line, 1.000 | 1000 engines |"), "{block}");
    assert!(
        block.ends_with("| figure | value |\n| --- | --- |\n| decisions_statement_count | 3 |\n"),
        "{block}"
    );
}

#[test]
fn the_block_alone_is_replaced() {
    let page = format!("# Title\n{BEGIN}\nold\n{END}\nrest\n");
    let wanted = with_block(&page, "new\n").unwrap();
    assert_eq!(wanted, format!("# Title\n{BEGIN}\nnew\n{END}\nrest\n"));
    assert_eq!(with_block(&wanted, "new\n"), Some(wanted.clone()));
    assert_eq!(with_block("no marks", "new\n"), None);
    assert_eq!(with_block(&format!("{END}{BEGIN}"), "new\n"), None);
}

#[test]
fn what_is_no_saved_line_is_refused() {
    assert!(Saved::parse("").is_none());
    assert!(Saved::parse("scale: a=1 b").is_none());
    assert!(Saved::parse("scale: a=1\nscale: b=2").unwrap().render().contains("| b | 2 |"));
}

#[test]
fn the_smallest_share_of_its_target_ends_first() {
    let mut figures = Figures::default();
    let role_ends =
        |name: &str, size, target| Break { name: name.to_owned(), size, size_of: "engines", target };
    figures.add_break(role_ends("never", None, 10.0));
    figures.add_break(role_ends("half", Some(6_000.0), 12_000.0));
    figures.add_break(role_ends("hundredth", Some(76.0), 7_600.0));
    let order: Vec<_> = figures.breaks().iter().map(|role_ends| role_ends.name.clone()).collect();
    assert_eq!(order, ["hundredth", "half", "never"]);
}

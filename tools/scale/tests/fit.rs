//! Known lines and curves come out of the fit, with their errors and the size at which they pass a
//! budget.
#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use violetgate_scale::fit::{Fit, Point, Shape, Weights};

fn points(costs: impl Fn(f64) -> f64) -> Vec<Point> {
    [80.0, 300.0, 1_000.0, 4_000.0, 7_600.0, 12_000.0]
        .map(|size| Point {
            size,
            cost: costs(size),
        })
        .to_vec()
}

fn fit(points: &[Point]) -> Option<Fit> {
    violetgate_scale::fit::fit(points, Weights::Equal)
}

fn near(value: f64, wanted: f64) -> bool {
    (value - wanted).abs() <= 1e-6 * wanted.abs().max(1.0)
}

#[test]
fn a_line_without_scatter_is_fitted_exactly() {
    let line = fit(&points(|size| 12.0 + 0.5 * size)).unwrap();
    assert!(near(line.intercept, 12.0) && near(line.slope, 0.5) && near(line.r_squared, 1.0));
    assert!(line.slope_error < 1e-6 && line.intercept_error < 1e-3);
    assert_eq!(line.shape, Shape::Line);
    assert!(near(line.size_at(512.0).unwrap(), 1_000.0));
    assert!(near(line.cost_at(2_000.0), 1_012.0));
}

/// Textbook figures: x = 1..5, y = 2, 4, 5, 4, 5.
#[test]
fn errors_are_the_textbook_ones() {
    let costs = [2.0, 4.0, 5.0, 4.0, 5.0];
    let measured: Vec<_> = costs
        .iter()
        .zip(1..)
        .map(|(cost, size)| Point {
            size: f64::from(size),
            cost: *cost,
        })
        .collect();
    let line = fit(&measured).unwrap();
    assert!(near(line.intercept, 2.2) && near(line.slope, 0.6) && near(line.r_squared, 0.6));
    assert!(
        (line.slope_error - 0.282_843).abs() < 1e-5,
        "{}",
        line.slope_error
    );
    assert!(
        (line.intercept_error - 0.938_083).abs() < 1e-5,
        "{}",
        line.intercept_error
    );
    assert_eq!(line.shape, Shape::Line);
}

#[test]
fn a_square_is_a_curve_and_passes_its_budget_where_the_square_does() {
    let curve = fit(&points(|size| 10.0 + 0.001 * size * size)).unwrap();
    assert_eq!(curve.shape, Shape::Curve);
    assert!((curve.size_at(1_010.0).unwrap() - 1_000.0).abs() < 1e-3);
    let falls = fit(&points(|size| 100.0 + 0.02 * size - 1e-6 * size * size)).unwrap();
    assert_eq!(falls.shape, Shape::Curve);
    assert!((falls.size_at(119.0).unwrap() - 1_000.0).abs() < 1e-3);
    assert_eq!(falls.size_at(10_000.0), None);
}

/// Scatter of two per cent with alternating signs hides no line, and a bend smaller than it is
/// none.
#[test]
fn scatter_is_no_curve() {
    let signs = [1.0, -1.0, 1.0, 1.0, -1.0, 1.0];
    let mut measured = points(|size| 20.0 + 0.5 * size);
    measured
        .iter_mut()
        .zip(signs)
        .for_each(|(point, sign)| point.cost *= 1.0 + 0.02 * sign);
    let line = fit(&measured).unwrap();
    assert_eq!(line.shape, Shape::Line);
    assert!((line.slope - 0.5).abs() < 4.0 * line.slope_error);
    assert!(line.r_squared > 0.99);
}

#[test]
fn too_little_is_not_fitted_and_four_sizes_say_nothing_of_a_curve() {
    let all = points(|size| size * size);
    assert!(fit(&all[..2]).is_none());
    assert!(fit(&[all[0]; 5]).is_none());
    assert!(fit(&points(|_| f64::NAN)).is_none());
    assert_eq!(fit(&all[..4]).unwrap().shape, Shape::Unknown);
}

#[test]
fn a_budget_can_be_passed_from_the_start_or_never() {
    let line = fit(&points(|size| 12.0 + 0.5 * size)).unwrap();
    assert_eq!(line.size_at(5.0), Some(0.0));
    assert_eq!(fit(&points(|_| 3.0)).unwrap().size_at(5.0), None);
    assert_eq!(
        fit(&points(|size| 3.0 - 1e-5 * size)).unwrap().size_at(5.0),
        None
    );
}

/// Twenty per cent too much at the largest size bends an even fit away from the small sizes, and
/// not a relative one.
#[test]
fn relative_weights_keep_to_the_small_sizes() {
    let mut measured = points(|size| 20.0 + 0.5 * size);
    measured[5].cost *= 1.2;
    let relative = violetgate_scale::fit::fit(&measured, Weights::Relative).unwrap();
    let even = fit(&measured).unwrap();
    let off = |fit: &Fit| (fit.cost_at(300.0) - 170.0).abs() / 170.0;
    assert!(off(&relative) < 0.03, "{}", off(&relative));
    assert!(off(&even) > 0.5, "{}", off(&even));
    let exact =
        violetgate_scale::fit::fit(&points(|size| 20.0 + 0.5 * size), Weights::Relative).unwrap();
    assert!(near(exact.intercept, 20.0) && near(exact.slope, 0.5) && exact.shape == Shape::Line);
}

/// A slope within its error says nothing of where a budget is passed.
#[test]
fn a_slope_within_its_error_passes_no_budget() {
    let costs = [30.0, 36.0, 29.0, 35.0, 31.0, 34.0];
    let mut measured = points(|_| 0.0);
    measured
        .iter_mut()
        .zip(costs)
        .for_each(|(point, cost)| point.cost = cost);
    assert_eq!(fit(&measured).unwrap().size_at(10_000.0), None);
}

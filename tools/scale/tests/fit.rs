//! Tests of the fit on known lines and curves: the coefficients, their standard errors, and the
//! size at which a budget is exceeded.
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

fn is_close(value: f64, expected: f64) -> bool {
    (value - expected).abs() <= 1e-6 * expected.abs().max(1.0)
}

#[test]
fn a_line_without_scatter_is_fitted_exactly() {
    let line = fit(&points(|size| 12.0 + 0.5 * size)).unwrap();
    assert!(
        is_close(line.intercept, 12.0)
            && is_close(line.slope, 0.5)
            && is_close(line.r_squared, 1.0)
    );
    assert!(line.slope_error < 1e-6 && line.intercept_error < 1e-3);
    assert_eq!(line.shape, Shape::Line);
    assert!(is_close(line.size_at(512.0).unwrap(), 1_000.0));
    assert!(is_close(line.cost_at(2_000.0), 1_012.0));
}

/// The example has x = 1..5 and y = 2, 4, 5, 4, 5.
#[test]
fn standard_errors_match_a_textbook_example() {
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
    assert!(
        is_close(line.intercept, 2.2) && is_close(line.slope, 0.6) && is_close(line.r_squared, 0.6)
    );
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
fn quadratic_costs_are_a_curve_and_exceed_the_budget_at_the_right_size() {
    let curve = fit(&points(|size| 10.0 + 0.001 * size * size)).unwrap();
    assert_eq!(curve.shape, Shape::Curve);
    assert!((curve.size_at(1_010.0).unwrap() - 1_000.0).abs() < 1e-3);
    let falls = fit(&points(|size| 100.0 + 0.02 * size - 1e-6 * size * size)).unwrap();
    assert_eq!(falls.shape, Shape::Curve);
    assert!((falls.size_at(119.0).unwrap() - 1_000.0).abs() < 1e-3);
    assert_eq!(falls.size_at(10_000.0), None);
}

/// A line with a scatter of 2% is still found as a line: the bend that a quadratic fits to the
/// scatter is not significant.
#[test]
fn scatter_is_not_classified_as_a_curve() {
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
fn too_few_points_are_not_fitted_and_four_sizes_leave_the_shape_unknown() {
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

/// A cost at the largest size that is 20% too high moves a fit with equal weights far away from the
/// small sizes. It hardly moves a fit with relative weights.
#[test]
fn an_outlier_at_the_largest_size_barely_moves_a_relative_fit() {
    let mut measured = points(|size| 20.0 + 0.5 * size);
    measured[5].cost *= 1.2;
    let relative = violetgate_scale::fit::fit(&measured, Weights::Relative).unwrap();
    let equal = fit(&measured).unwrap();
    let relative_error = |fit: &Fit| (fit.cost_at(300.0) - 170.0).abs() / 170.0;
    assert!(
        relative_error(&relative) < 0.03,
        "{}",
        relative_error(&relative)
    );
    assert!(relative_error(&equal) > 0.5, "{}", relative_error(&equal));
    let exact =
        violetgate_scale::fit::fit(&points(|size| 20.0 + 0.5 * size), Weights::Relative).unwrap();
    assert!(
        is_close(exact.intercept, 20.0) && is_close(exact.slope, 0.5) && exact.shape == Shape::Line
    );
}

/// If a slope is within its standard error, the cost does not surely grow, and no size exceeds the
/// budget.
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

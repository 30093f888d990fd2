//! Weighted least squares on measured costs: the line `cost = intercept + slope x size`, the
//! standard errors of intercept and slope, and a test of whether a quadratic fits the costs
//! significantly better.

/// One measurement: a cost at a size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The size at which the cost was measured.
    pub size: f64,
    /// The measured cost, in the caller's unit.
    pub cost: f64,
}

/// The shape of the costs over the size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// A quadratic does not fit the costs significantly better than a line.
    Line,
    /// A quadratic fits the costs better than a line, beyond the scatter of the measurements.
    Curve,
    /// Fewer than five measurements were made, which are too few for the test.
    Unknown,
}

impl Shape {
    /// Returns the name of the shape in figures.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Shape::Line => "line",
            Shape::Curve => "curve",
            Shape::Unknown => "unknown",
        }
    }
}

/// The coefficients of `constant + linear x size + square x size^2`.
#[derive(Debug, Clone, Copy)]
struct Quadratic {
    constant: f64,
    linear: f64,
    square: f64,
}

/// The result of a fit.
#[derive(Debug, Clone, Copy)]
pub struct Fit {
    /// The cost of the line at size 0.
    pub intercept: f64,
    /// The standard error of the intercept.
    pub intercept_error: f64,
    /// The additional cost for each unit of size.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
    /// The fraction of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
    /// Whether a line or a quadratic describes the costs.
    pub shape: Shape,
    quadratic: Quadratic,
}

/// A slope has to exceed this many of its standard errors to count as growth.
const MIN_SLOPE_ERRORS: f64 = 2.0;
/// The minimum number of measurements for the test of the shape.
const MIN_SIZES_FOR_SHAPE: usize = 5;
/// The costs count as a curve only if the quadratic changes the cost at the largest size by more
/// than this fraction of it.
const MIN_BEND_FRACTION: f64 = 0.03;
/// Critical values of the F distribution at a level of 1%, with 1 degree of freedom in the
/// numerator and 1, 2, ... in the denominator.
const CRITICAL_F_VALUES: [f64; 10] = [
    4052.2, 98.5, 34.12, 21.2, 16.26, 13.75, 12.25, 11.26, 10.56, 10.04,
];

/// How the measurements are weighted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weights {
    /// All measurements have the same weight, as their absolute errors are alike.
    Equal,
    /// Measurements are weighted by the inverse square of the cost, as their errors are
    /// proportional to it. This holds for times over sizes of several magnitudes.
    Relative,
}

/// Costs below this fraction of the largest cost are weighted as if they were equal to it, so that
/// weights stay finite.
const MIN_COST_FRACTION: f64 = 1e-4;

impl Weights {
    /// Returns the weight of each cost; the mean of the weights is 1.
    fn of(self, costs: &[f64]) -> Vec<f64> {
        let largest = costs
            .iter()
            .fold(0.0, |most: f64, cost| most.max(cost.abs()));
        if self == Weights::Equal || largest == 0.0 {
            return vec![1.0; costs.len()];
        }
        let weight = |cost: &f64| (largest / cost.abs().max(MIN_COST_FRACTION * largest)).powi(2);
        let weights: Vec<f64> = costs.iter().map(weight).collect();
        let mean = weights.iter().sum::<f64>() / costs.len() as f64;
        weights.into_iter().map(|weight| weight / mean).collect()
    }
}

/// The weighted means of two series, and the weighted sums of squares and products of the
/// deviations from them.
struct Moments {
    mean_x: f64,
    mean_y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
}

impl Moments {
    fn of(x: &[f64], y: &[f64], weights: &[f64]) -> Self {
        let total: f64 = weights.iter().sum();
        let mean =
            |values: &[f64]| values.iter().zip(weights).map(|(v, w)| v * w).sum::<f64>() / total;
        let (mean_x, mean_y) = (mean(x), mean(y));
        let deviations = || {
            x.iter()
                .zip(y)
                .map(|(x, y)| (x - mean_x, y - mean_y))
                .zip(weights)
        };
        Moments {
            mean_x,
            mean_y,
            xx: deviations().map(|((dx, _), w)| w * dx * dx).sum(),
            xy: deviations().map(|((dx, dy), w)| w * dx * dy).sum(),
            yy: deviations().map(|((_, dy), w)| w * dy * dy).sum(),
        }
    }

    fn slope(&self) -> f64 {
        self.xy / self.xx
    }

    fn intercept(&self) -> f64 {
        self.mean_y - self.slope() * self.mean_x
    }

    fn residual(&self) -> f64 {
        (self.yy - self.slope() * self.xy).max(0.0)
    }
}

/// Fits measurements. Returns `None` if there are fewer than three, if all have the same size, or
/// if one is not finite.
#[must_use]
pub fn fit(points: &[Point], weights: Weights) -> Option<Fit> {
    let sizes: Vec<f64> = points.iter().map(|p| p.size).collect();
    let costs: Vec<f64> = points.iter().map(|p| p.cost).collect();
    let finite = sizes.iter().chain(&costs).all(|v| v.is_finite());
    let weights = weights.of(&costs);
    let moments = Moments::of(&sizes, &costs, &weights);
    if points.len() < 3 || !finite || moments.xx <= 0.0 {
        return None;
    }
    let count = points.len() as f64;
    let residual = moments.residual();
    let variance = residual / (count - 2.0);
    let quadratic = quadratic(&sizes, &costs, &weights, &moments);
    Some(Fit {
        intercept: moments.intercept(),
        intercept_error: (variance * (1.0 / count + moments.mean_x.powi(2) / moments.xx)).sqrt(),
        slope: moments.slope(),
        slope_error: (variance / moments.xx).sqrt(),
        r_squared: if moments.yy > 0.0 {
            1.0 - residual / moments.yy
        } else {
            1.0
        },
        shape: shape(&sizes, &costs, &weights, &moments, quadratic),
        quadratic,
    })
}

/// Fits a quadratic, given the fitted line. The squared sizes are reduced to the remainder that a
/// line in the size does not explain, and the costs are fitted to that remainder.
fn quadratic(sizes: &[f64], costs: &[f64], weights: &[f64], line: &Moments) -> Quadratic {
    let squares: Vec<f64> = sizes.iter().map(|x| x * x).collect();
    let of_squares = Moments::of(sizes, &squares, weights);
    let (remainder_constant, remainder_linear) = (of_squares.intercept(), of_squares.slope());
    let remainders = || {
        sizes
            .iter()
            .zip(&squares)
            .map(|(x, square)| square - remainder_constant - remainder_linear * x)
    };
    let remainder_squares: f64 = remainders()
        .zip(weights)
        .map(|(remainder, weight)| weight * remainder * remainder)
        .sum();
    let products = remainders().zip(costs).zip(weights);
    let remainder_products: f64 = products
        .map(|((remainder, cost), weight)| weight * remainder * cost)
        .sum();
    let square = if remainder_squares > 0.0 {
        remainder_products / remainder_squares
    } else {
        0.0
    };
    Quadratic {
        constant: line.intercept() - square * remainder_constant,
        linear: line.slope() - square * remainder_linear,
        square,
    }
}

/// Determines the shape by an F test of the quadratic against the line, and by how much the two
/// differ at the largest size.
fn shape(
    sizes: &[f64],
    costs: &[f64],
    weights: &[f64],
    line: &Moments,
    quadratic: Quadratic,
) -> Shape {
    if sizes.len() < MIN_SIZES_FOR_SHAPE {
        return Shape::Unknown;
    }
    let Quadratic {
        constant,
        linear,
        square,
    } = quadratic;
    let remainder = |x: &f64, cost: &f64| cost - constant - linear * x - square * x * x;
    let remainders = sizes.iter().zip(costs).zip(weights);
    let quadratic_residual: f64 = remainders
        .map(|((x, cost), weight)| weight * remainder(x, cost).powi(2))
        .sum();
    let degrees_of_freedom = sizes.len() - 3;
    let largest = sizes.iter().copied().fold(0.0, f64::max);
    let at_largest = line.intercept() + line.slope() * largest;
    let bend = (constant + linear * largest + square * largest * largest - at_largest).abs();
    let matters = bend > MIN_BEND_FRACTION * at_largest.abs();
    let critical = CRITICAL_F_VALUES
        .get(degrees_of_freedom - 1)
        .or(CRITICAL_F_VALUES.last())
        .copied()
        .unwrap_or(f64::MAX);
    let gained = line.residual() - quadratic_residual;
    if matters && gained > critical * quadratic_residual / degrees_of_freedom as f64 {
        Shape::Curve
    } else {
        Shape::Line
    }
}

impl Fit {
    /// Returns the fitted cost at a size: by the quadratic if the costs are a curve, otherwise by
    /// the line.
    #[must_use]
    pub fn cost_at(&self, size: f64) -> f64 {
        let Quadratic {
            constant,
            linear,
            square,
        } = self.coefficients();
        constant + linear * size + square * size * size
    }

    /// Returns the fitted size at which the cost exceeds a budget, or 0 if it already does at size
    /// 0. Returns `None` if it never does, or if a linear cost does not grow significantly.
    #[must_use]
    pub fn size_at(&self, budget: f64) -> Option<f64> {
        let Quadratic {
            constant,
            linear,
            square,
        } = self.coefficients();
        let below = constant - budget;
        if below >= 0.0 {
            return Some(0.0);
        }
        if square == 0.0 {
            let grows = linear > MIN_SLOPE_ERRORS * self.slope_error;
            return grows.then(|| -below / linear);
        }
        let under_root = linear * linear - 4.0 * square * below;
        if under_root < 0.0 {
            return None;
        }
        // Giving the square root the sign of b avoids the cancellation in -b + sqrt(b^2 - 4ac).
        let half = -0.5 * (linear + under_root.sqrt().copysign(linear));
        let roots = [half / square, below / half];
        roots
            .into_iter()
            .filter(|size| size.is_finite() && *size > 0.0)
            .min_by(f64::total_cmp)
    }

    fn coefficients(&self) -> Quadratic {
        match self.shape {
            Shape::Curve => self.quadratic,
            Shape::Line | Shape::Unknown => Quadratic {
                constant: self.intercept,
                linear: self.slope,
                square: 0.0,
            },
        }
    }
}

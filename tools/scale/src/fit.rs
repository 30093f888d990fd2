//! Least squares through measured costs: the line `cost = intercept + slope x size`, the standard
//! errors of both, and whether a quadratic explains the costs so much better that they have to be
//! called a curve.

/// One measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The size at which it was made.
    pub size: f64,
    /// What it cost.
    pub cost: f64,
}

/// Whether the costs follow a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// A quadratic explains them no better.
    Line,
    /// A quadratic explains them better, beyond the scatter of the measurements.
    Curve,
    /// There are fewer than five sizes: too few to say.
    Unknown,
}

impl Shape {
    /// Its name in figures.
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

/// What was fitted through the measurements.
#[derive(Debug, Clone, Copy)]
pub struct Fit {
    /// The cost at size 0.
    pub intercept: f64,
    /// Its standard error.
    pub intercept_error: f64,
    /// What one more costs.
    pub slope: f64,
    /// Its standard error.
    pub slope_error: f64,
    /// The share of the variance that the line explains.
    pub r_squared: f64,
    /// Whether the line is the right picture.
    pub shape: Shape,
    quadratic: Quadratic,
}

/// A slope of fewer than so many of its standard errors is none.
const SURE: f64 = 2.0;
/// Fewer sizes say nothing about a curve.
const FEWEST_FOR_SHAPE: usize = 5;
/// A quadratic that changes the cost at the largest size by less than this share of it is no curve
/// of interest.
const LEAST_BEND: f64 = 0.03;
/// Critical values of the F distribution with one degree of freedom over 1, 2, ... at a level of
/// 1%.
const F_AT_ONE_PERCENT: [f64; 10] = [
    4052.2, 98.5, 34.12, 21.2, 16.26, 13.75, 12.25, 11.26, 10.56, 10.04,
];

/// How much each measurement counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weights {
    /// All alike: their errors are of one size.
    Equal,
    /// By the inverse square of the cost: errors are a share of it, as those of times over sizes of
    /// many magnitudes.
    Relative,
}

/// Costs under this fraction of the largest one have the weight of one of it.
const LEAST_WEIGHED: f64 = 1e-4;

impl Weights {
    /// The weights of costs, with 1 as their mean.
    fn of(self, costs: &[f64]) -> Vec<f64> {
        let largest = costs
            .iter()
            .fold(0.0, |most: f64, cost| most.max(cost.abs()));
        if self == Weights::Equal || largest == 0.0 {
            return vec![1.0; costs.len()];
        }
        let weight = |cost: &f64| (largest / cost.abs().max(LEAST_WEIGHED * largest)).powi(2);
        let weights: Vec<f64> = costs.iter().map(weight).collect();
        let mean = weights.iter().sum::<f64>() / costs.len() as f64;
        weights.into_iter().map(|weight| weight / mean).collect()
    }
}

/// Weighted sums about the means of two series.
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
        let apart = || {
            x.iter()
                .zip(y)
                .map(|(x, y)| (x - mean_x, y - mean_y))
                .zip(weights)
        };
        Moments {
            mean_x,
            mean_y,
            xx: apart().map(|((dx, _), w)| w * dx * dx).sum(),
            xy: apart().map(|((dx, dy), w)| w * dx * dy).sum(),
            yy: apart().map(|((_, dy), w)| w * dy * dy).sum(),
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

/// Fits measurements. `None`: there are fewer than three, all of one size, or one is no number.
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

/// The square's part that the line does not explain is fitted to the line's own residuals.
fn quadratic(sizes: &[f64], costs: &[f64], weights: &[f64], line: &Moments) -> Quadratic {
    let squares: Vec<f64> = sizes.iter().map(|x| x * x).collect();
    let of_squares = Moments::of(sizes, &squares, weights);
    let (rest_constant, rest_linear) = (of_squares.intercept(), of_squares.slope());
    let rests = || {
        sizes
            .iter()
            .zip(&squares)
            .map(|(x, square)| square - rest_constant - rest_linear * x)
    };
    let own: f64 = rests()
        .zip(weights)
        .map(|(rest, weight)| weight * rest * rest)
        .sum();
    let products = rests().zip(costs).zip(weights);
    let shared: f64 = products
        .map(|((rest, cost), weight)| weight * rest * cost)
        .sum();
    let square = if own > 0.0 { shared / own } else { 0.0 };
    Quadratic {
        constant: line.intercept() - square * rest_constant,
        linear: line.slope() - square * rest_linear,
        square,
    }
}

/// The F test of the quadratic against the line, and whether the bend matters at the largest size.
fn shape(
    sizes: &[f64],
    costs: &[f64],
    weights: &[f64],
    line: &Moments,
    quadratic: Quadratic,
) -> Shape {
    if sizes.len() < FEWEST_FOR_SHAPE {
        return Shape::Unknown;
    }
    let Quadratic {
        constant,
        linear,
        square,
    } = quadratic;
    let rest = |x: &f64, cost: &f64| cost - constant - linear * x - square * x * x;
    let rests = sizes.iter().zip(costs).zip(weights);
    let bent: f64 = rests
        .map(|((x, cost), weight)| weight * rest(x, cost).powi(2))
        .sum();
    let freedom = sizes.len() - 3;
    let largest = sizes.iter().copied().fold(0.0, f64::max);
    let at_largest = line.intercept() + line.slope() * largest;
    let bend = (constant + linear * largest + square * largest * largest - at_largest).abs();
    let matters = bend > LEAST_BEND * at_largest.abs();
    let critical = F_AT_ONE_PERCENT
        .get(freedom - 1)
        .or(F_AT_ONE_PERCENT.last())
        .copied()
        .unwrap_or(f64::MAX);
    let gained = line.residual() - bent;
    if matters && gained > critical * bent / freedom as f64 {
        Shape::Curve
    } else {
        Shape::Line
    }
}

impl Fit {
    /// The fitted cost at a size: by the quadratic where the costs are a curve.
    #[must_use]
    pub fn cost_at(&self, size: f64) -> f64 {
        let Quadratic {
            constant,
            linear,
            square,
        } = self.used();
        constant + linear * size + square * size * size
    }

    /// The fitted size at which the cost passes a budget; 0 where it is passed from the start,
    /// `None` where it never is, or where the cost does not surely grow.
    #[must_use]
    pub fn size_at(&self, budget: f64) -> Option<f64> {
        let Quadratic {
            constant,
            linear,
            square,
        } = self.used();
        let below = constant - budget;
        if below >= 0.0 {
            return Some(0.0);
        }
        if square == 0.0 {
            let grows = linear > SURE * self.slope_error;
            return grows.then(|| -below / linear);
        }
        let under_root = linear * linear - 4.0 * square * below;
        if under_root < 0.0 {
            return None;
        }
        // The larger of the two forms avoids the cancellation in -b + sqrt(b^2 - 4ac).
        let half = -0.5 * (linear + under_root.sqrt().copysign(linear));
        let roots = [half / square, below / half];
        roots
            .into_iter()
            .filter(|size| size.is_finite() && *size > 0.0)
            .min_by(f64::total_cmp)
    }

    fn used(&self) -> Quadratic {
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

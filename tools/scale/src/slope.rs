//! A role's cost by size: the measurements, their fit, and the size at which the budget is
//! exceeded.

use std::fmt;

use crate::figures::{CapacityLimit, Figures};
use crate::fit::{fit, Fit, Point, Weights};

/// The maximum of a cost, and the size up to which it has to hold.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    /// The maximum cost, in the cost's unit.
    pub cost: f64,
    /// The size that the role has to support.
    pub target: f64,
}

/// A role whose costs are measured by size.
#[derive(Debug, Clone, Copy)]
pub struct MeasuredRole {
    /// The role's name, which is the prefix of its figures.
    pub name: &'static str,
    /// The unit of sizes, such as `engines`.
    pub size_of: &'static str,
    /// The size that the role has to support.
    pub target: f64,
}

impl MeasuredRole {
    /// Creates a slope of one cost of the role, without measurements. `budget` is the maximum cost.
    #[must_use]
    pub fn slope(&self, name: &'static str, unit: &'static str, budget: Option<f64>) -> Slope {
        let target = self.target;
        Slope {
            role: self.name,
            name,
            unit,
            size_of: self.size_of,
            budget: budget.map(|cost| Budget { cost, target }),
            points: Vec::new(),
        }
    }
}

/// One cost of one role by size.
#[derive(Debug)]
pub struct Slope {
    /// The role's name, which is the prefix of its figures.
    pub role: &'static str,
    /// The cost's name, which follows the role in the names of figures.
    pub name: &'static str,
    /// The cost's unit, which is the suffix of figures in that unit.
    pub unit: &'static str,
    /// The unit of sizes, such as `engines`.
    pub size_of: &'static str,
    /// The budget, if the cost has one.
    pub budget: Option<Budget>,
    /// The measurements, in the order in which they were added.
    pub points: Vec<Point>,
}

impl Slope {
    /// Adds the cost that was measured at a size.
    pub fn push(&mut self, size: f64, cost: f64) {
        self.points.push(Point { size, cost });
    }

    /// Returns the fit, or `None` if there are too few measurements.
    #[must_use]
    pub fn fitted(&self) -> Option<Fit> {
        fit(&self.points, Weights::Relative)
    }

    /// Returns the size at which the budget is exceeded, or `None` if there is no such size, no
    /// budget or no fit.
    #[must_use]
    pub fn breaks_at(&self) -> Option<f64> {
        self.fitted()?.size_at(self.budget?.cost)
    }

    /// Prints the slope as a line, and adds the measurements, the fit and the size at which the
    /// budget is exceeded to the figures.
    pub fn record(&self, figures: &mut Figures) {
        println!("{self}");
        let Slope {
            role,
            name,
            unit,
            size_of,
            ..
        } = self;
        let key = format!("{role}_{name}");
        for point in &self.points {
            figures.add_number(&format!("{key}_at_{}_{unit}", point.size), point.cost);
        }
        let Some(fit) = self.fitted() else {
            return figures.add_failure(format!(
                "{key}: {} measurements are too few for a fit",
                self.points.len()
            ));
        };
        figures.add_number(&format!("{key}_intercept_{unit}"), fit.intercept);
        figures.add_number(
            &format!("{key}_intercept_error_{unit}"),
            fit.intercept_error,
        );
        figures.add_number(&format!("{key}_slope_{unit}"), fit.slope);
        figures.add_number(&format!("{key}_slope_error_{unit}"), fit.slope_error);
        figures.add_number(&format!("{key}_r_squared"), fit.r_squared);
        figures.add(&format!("{key}_shape"), fit.shape.name());
        let Some(budget) = self.budget else { return };
        let breaks_at = fit.size_at(budget.cost);
        let shown = breaks_at.map_or_else(|| "never".to_owned(), |size| format!("{size:.0}"));
        figures.add(&format!("{key}_breaks_at_{size_of}"), shown);
        figures.add_limit(CapacityLimit {
            name: key,
            size: breaks_at,
            size_of,
            target: budget.target,
        });
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Slope {
            role,
            name,
            unit,
            size_of,
            ..
        } = self;
        write!(f, "{role} {name}:")?;
        let Some(fit) = self.fitted() else {
            return write!(f, " too few measurements");
        };
        write!(
            f,
            " {:.4} (error {:.2}) + {:.6} (error {:.2}) x {size_of} {unit}, a {}, R2 {:.4}",
            fit.intercept,
            fit.intercept_error,
            fit.slope,
            fit.slope_error,
            fit.shape.name(),
            fit.r_squared
        )?;
        if let Some(budget) = self.budget {
            let Budget { cost, target } = budget;
            match fit.size_at(cost) {
                Some(size) => write!(
                    f,
                    "; passes {cost} {unit} at {size:.0} {size_of} of {target}"
                )?,
                None => write!(f, "; never passes {cost} {unit}")?,
            }
        }
        write!(f, ";")?;
        self.points
            .iter()
            .try_for_each(|point| write!(f, " {}: {:.4}", point.size, point.cost))
    }
}

//! Counts the engines in use that are ejected, healthy, or avoided by a class.

use super::EngineRecord;

/// The counts of engines at one point in time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct HealthCounts {
    /// The number of engines that are listed as ready and not cordoned.
    pub in_use: usize,
    /// The number of engines in use that are ejected.
    pub ejected: usize,
    /// The number of engines in use that are not ejected, or of all engines in use if ejection is
    /// ignored.
    pub healthy: usize,
    /// The number of healthy engines that are ejected for a class, by the index of the class.
    ejected_for_class: Vec<usize>,
}

impl HealthCounts {
    /// Counts engines. With `ignore_ejection`, ejected engines also count as healthy.
    pub fn of<'a>(engines: impl Iterator<Item = &'a EngineRecord>, ignore_ejection: bool) -> Self {
        let mut counts = HealthCounts::default();
        for engine in engines.filter(|engine| engine.in_use()) {
            counts.in_use += 1;
            counts.ejected += usize::from(engine.health.ejected);
            if !engine.health.ejected || ignore_ejection {
                counts.add_healthy(engine);
            }
        }
        counts
    }

    fn add_healthy(&mut self, engine: &EngineRecord) {
        self.healthy += 1;
        let class_health = engine.class_health.iter();
        for (class, _) in class_health.filter(|(_, health)| health.ejected) {
            if self.ejected_for_class.len() <= *class {
                self.ejected_for_class.resize(*class + 1, 0);
            }
            if let Some(count) = self.ejected_for_class.get_mut(*class) {
                *count += 1;
            }
        }
    }

    /// Returns the number of healthy engines that are not ejected for a class.
    pub fn serving(&self, class: usize) -> usize {
        self.healthy - self.ejected_for_class.get(class).copied().unwrap_or(0)
    }
}

//! Counts of the engines in use: ejected ones, healthy ones, and those that each class avoids.

use super::EngineRecord;

/// The counts at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct HealthCounts {
    /// Engines that are listed as ready and not cordoned.
    pub in_use: usize,
    /// Those of them that are ejected.
    pub ejected: usize,
    /// Those of them that are healthy.
    pub healthy: usize,
    /// Healthy ones that are ejected for one class, by the number of the class.
    ejected_for_class: Vec<usize>,
}

impl HealthCounts {
    /// Counts engines. With `ignore_ejection`, ejected ones are healthy too.
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

    /// How many engines serve a class.
    pub fn serving(&self, class: usize) -> usize {
        self.healthy - self.ejected_for_class.get(class).copied().unwrap_or(0)
    }
}

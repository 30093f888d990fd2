//! How many engines are in use, ejected, healthy and shunned by each class. It counts; nothing is
//! decided here.

use super::Node;

/// The counts of one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    /// Engines that are listed as running and not called out.
    pub in_use: usize,
    /// Those of them that are ejected.
    pub ejected: usize,
    /// Those of them that are healthy.
    pub healthy: usize,
    /// Healthy ones that each class, by its place, shuns.
    shunned: Vec<usize>,
}

impl Counts {
    /// Counts these engines; with `ignore_ejection` ejected ones are healthy too.
    pub fn of<'a>(nodes: impl Iterator<Item = &'a Node>, ignore_ejection: bool) -> Self {
        let mut counts = Counts::default();
        for node in nodes.filter(|node| node.in_use()) {
            counts.in_use += 1;
            counts.ejected += usize::from(node.health.ejected);
            if !node.health.ejected || ignore_ejection {
                counts.add_healthy(node);
            }
        }
        counts
    }

    fn add_healthy(&mut self, node: &Node) {
        self.healthy += 1;
        for (class, _) in node
            .class_health
            .iter()
            .filter(|(_, health)| health.ejected)
        {
            if self.shunned.len() <= *class {
                self.shunned.resize(*class + 1, 0);
            }
            self.shunned
                .get_mut(*class)
                .into_iter()
                .for_each(|count| *count += 1);
        }
    }

    /// How many engines serve a class.
    pub fn serving(&self, class: usize) -> usize {
        self.healthy - self.shunned.get(class).copied().unwrap_or(0)
    }
}

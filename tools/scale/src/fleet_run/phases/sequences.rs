//! The last phase of a run: compares the changes that each gateway has applied with those that were
//! answered.

use std::time::{Duration, Instant};

use super::Run;
use crate::figures::Figures;
use crate::fleet_run::error::FleetRunError;
use crate::fleet_run::propagation::{in_force_at, Change};
use crate::lightweight_gateway::change_sequence::{ChangeSequence, SequenceDigest, SequenceFaults};
use crate::lightweight_gateway::protocol::{SequenceCount, Totals};

/// How long the last change may take to be in force everywhere before sequences are compared.
const LAST_CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time until every process has reported totals again; they are reported four times a second.
const TOTALS_WAIT: Duration = Duration::from_millis(600);

impl Run<'_> {
    /// Stops making changes, and compares the changes that each gateway has applied with those that
    /// were answered.
    pub(super) fn compare_sequences(&mut self, figures: &mut Figures) -> Result<(), FleetRunError> {
        if let Some(change_maker) = &mut self.change_maker {
            change_maker.stop();
        }
        let changes = self.changes();
        let last = changes.last().map_or(0, |change| change.number);
        let deadline = Instant::now() + LAST_CHANGE_TIMEOUT;
        while in_force_at(&self.in_force_reports(), last).is_none() && Instant::now() < deadline {
            self.wait(CHECK_INTERVAL)?;
        }
        self.wait(TOTALS_WAIT)?;
        let totals = self.lightweight.totals();
        let differing = count_gateways(&totals, |sequence| !is_part_of(sequence, &changes));
        let behind = count_gateways(&totals, |sequence| sequence.last < last);
        let SequenceFaults {
            missing,
            duplicated,
            out_of_order,
        } = totals.faults;
        figures.at_most("scale_stale_routed", totals.stale as f64, 0.0);
        figures.at_most("scale_lost_changes", missing as f64, 0.0);
        figures.at_most("scale_doubled_changes", duplicated as f64, 0.0);
        figures.at_most("scale_out_of_order_changes", out_of_order as f64, 0.0);
        figures.at_most("scale_front_ends_with_other_changes", differing as f64, 0.0);
        figures.add("scale_front_ends_behind_at_end", behind);
        figures.add("scale_changes", changes.len());
        Ok(())
    }
}

/// Returns how many gateways have applied a sequence for which `is_wanted` holds.
fn count_gateways(totals: &Totals, is_wanted: impl Fn(ChangeSequence) -> bool) -> usize {
    let sequences = totals.sequences.iter();
    let wanted = sequences.filter(|counted: &&SequenceCount| is_wanted(counted.sequence));
    wanted.map(|counted| counted.gateways).sum()
}

/// Returns whether a gateway has applied exactly the answered changes, from its first to its last
/// change, with the revisions that were answered.
fn is_part_of(sequence: ChangeSequence, changes: &[Change]) -> bool {
    let numbers = sequence.first..=sequence.last;
    let mut digest = SequenceDigest::default();
    for change in changes {
        if numbers.contains(&change.number) {
            digest.add(change.number, change.revision);
        }
    }
    sequence.first > 0 && sequence.digest == digest
}

//! A state of the model: a simulated fleet and the faults that were injected into it.

use std::hash::{Hash, Hasher};

use violetgate_membership::{MemberState, Micros};
use violetgate_simulator::{Cut, FaultPlan, Pause, ViewChange, World, SECOND};

/// The number of faults in a run. The run goes on for [`STEP_TIME`] after each of them.
pub const MAX_STEPS: usize = 4;
const STEP_TIME: Micros = 2 * SECOND;
/// The time before the first fault, in which the members find each other.
pub const START_TIME: Micros = 3 * SECOND;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No new fault in this step.
    None,
    /// All messages from one member to another are lost from now on.
    Cut { from: usize, to: usize },
    /// A member's process pauses.
    Pause { member: usize },
    /// All cuts and pauses end.
    Heal,
}

/// A simulated fleet after a sequence of faults. Two runs with the same sequence are equal, since
/// the simulation is deterministic.
#[derive(Debug, Clone)]
pub struct Run {
    pub world: World,
    pub past: Vec<Fault>,
}

impl PartialEq for Run {
    fn eq(&self, other: &Self) -> bool {
        self.past == other.past
    }
}

impl Eq for Run {}

impl Hash for Run {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.past.hash(state);
    }
}

impl Run {
    pub fn new(world: World) -> Self {
        Run {
            world,
            past: Vec::new(),
        }
    }

    pub fn now(&self) -> Micros {
        START_TIME + self.past.len() as u64 * STEP_TIME
    }

    /// The faults that are active now: those since the last [`Fault::Heal`].
    pub fn faults(&self) -> FaultPlan {
        let mut faults = FaultPlan::default();
        let last_heal = self.past.iter().rposition(|fault| *fault == Fault::Heal);
        let first = last_heal.map_or(0, |at| at + 1);
        for (fault, step) in self.past.iter().zip(0u64..).skip(first) {
            let begin = START_TIME + step * STEP_TIME;
            match fault {
                Fault::Cut { from, to } => faults.cuts.push(Cut {
                    from: vec![*from],
                    to: vec![*to],
                    begin,
                    end: u64::MAX,
                }),
                Fault::Pause { member } => faults.pauses.push(Pause {
                    member: *member,
                    begin,
                    end: START_TIME + 100 * STEP_TIME,
                }),
                Fault::None | Fault::Heal => {}
            }
        }
        faults
    }

    /// Returns the run after one more fault.
    pub fn after(&self, fault: Fault) -> Run {
        let mut next = self.clone();
        next.past.push(fault);
        let faults = next.faults();
        next.world.set_faults(faults);
        if fault == Fault::Heal {
            next.world.resume_paused();
        }
        next.world.run(next.now()).unwrap();
        next
    }

    /// All links that were ever cut, as pairs of sender and receiver.
    pub fn cut_links(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        self.past.iter().filter_map(|fault| match fault {
            Fault::Cut { from, to } => Some((*from, *to)),
            _ => None,
        })
    }

    /// The member that was paused at any time in the run, if any.
    pub fn paused_member(&self) -> Option<usize> {
        self.past.iter().find_map(|fault| match fault {
            Fault::Pause { member } => Some(*member),
            _ => None,
        })
    }

    /// All declarations of death in the run.
    pub fn deaths(&self) -> impl Iterator<Item = &ViewChange> {
        let changes = self.world.view_changes.iter();
        changes.filter(|change| change.state == MemberState::Dead)
    }
}

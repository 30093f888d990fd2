//! A run of the model: a world and the faults that it went through.

use std::hash::{Hash, Hasher};

use violetgate_membership::{MemberState, Micros};
use violetgate_simulator::{Cut, FaultPlan, Pause, ViewChange, World, SECOND};

/// How many faults a run has; each lasts for [`STEP_TIME`] at least.
pub const MAX_STEPS: usize = 4;
const STEP_TIME: Micros = 2 * SECOND;
/// In which the members find each other.
pub const START_TIME: Micros = 3 * SECOND;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Nothing new.
    None,
    /// From now on nothing passes from one member to another.
    Cut { from: usize, to: usize },
    /// A process stands still.
    Pause { member: usize },
    /// All links work and all processes run again.
    Heal,
}

/// A world after some faults. Two that went through the same are equal.
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

    /// The faults that hold now: those since the last healing.
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

    /// The run after one more fault.
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

    /// All links that were ever cut, by sender and receiver.
    pub fn cut_links(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        self.past.iter().filter_map(|fault| match fault {
            Fault::Cut { from, to } => Some((*from, *to)),
            _ => None,
        })
    }

    /// The member that was paused.
    pub fn paused_member(&self) -> Option<usize> {
        self.past.iter().find_map(|fault| match fault {
            Fault::Pause { member } => Some(*member),
            _ => None,
        })
    }

    /// All declarations of death.
    pub fn deaths(&self) -> impl Iterator<Item = &ViewChange> {
        let changes = self.world.view_changes.iter();
        changes.filter(|change| change.state == MemberState::Dead)
    }
}

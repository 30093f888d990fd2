//! What goes wrong in a run, with an index by member: a large fleet consults it for each message
//! and each tick.

use violetgate_membership::Micros;

/// In a span of time all messages from some members to some others are lost.
#[derive(Debug, Clone)]
pub struct Cut {
    /// The senders.
    pub from: Vec<usize>,
    /// The receivers.
    pub to: Vec<usize>,
    /// When it begins, in microseconds.
    pub begin: Micros,
    /// When it ends.
    pub end: Micros,
}

/// A process stands still for a span of time; what it is sent meanwhile arrives when it goes on.
#[derive(Debug, Clone, Copy)]
pub struct Pause {
    /// The member.
    pub member: usize,
    /// When it begins, in microseconds.
    pub begin: Micros,
    /// When it ends.
    pub end: Micros,
}

/// Something happens to a member.
#[derive(Debug, Clone, Copy)]
pub struct MemberEvent {
    /// The member.
    pub member: usize,
    /// When, in microseconds.
    pub at: Micros,
}

/// What goes wrong in a run.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    /// The fraction of messages that are lost, from 0 to 1.
    pub loss: f64,
    /// Messages take 1 ms and up to this much longer, in microseconds.
    pub jitter: Micros,
    /// Processes that stand still.
    pub pauses: Vec<Pause>,
    /// Links that are cut.
    pub cuts: Vec<Cut>,
    /// Processes that die without a message.
    pub deaths: Vec<MemberEvent>,
    /// Processes that leave the fleet and end.
    pub leaves: Vec<MemberEvent>,
}

impl Cut {
    /// Cuts the links between two groups in both directions.
    #[must_use]
    pub fn both_ways(first: &[usize], second: &[usize], begin: Micros, end: Micros) -> Vec<Cut> {
        let one_way = |from: &[usize], to: &[usize]| Cut {
            from: from.to_vec(),
            to: to.to_vec(),
            begin,
            end,
        };
        vec![one_way(first, second), one_way(second, first)]
    }
}

/// A cut with a flag for each member.
#[derive(Debug, Clone)]
struct CutIndex {
    from: Vec<bool>,
    to: Vec<bool>,
    begin: Micros,
    end: Micros,
}

/// A fault plan, by member.
#[derive(Debug, Clone)]
pub(crate) struct FaultIndex {
    plan: FaultPlan,
    deaths: Vec<Option<Micros>>,
    leaves: Vec<Option<Micros>>,
    pauses: Vec<Vec<Pause>>,
    cuts: Vec<CutIndex>,
}

impl FaultIndex {
    /// Indexes a plan for so many members.
    pub fn new(plan: FaultPlan, member_count: usize) -> Self {
        let mut pauses = vec![Vec::new(); member_count];
        for pause in &plan.pauses {
            if let Some(of_member) = pauses.get_mut(pause.member) {
                of_member.push(*pause);
            }
        }
        let cuts = plan.cuts.iter().map(|cut| CutIndex {
            from: flags(&cut.from, member_count),
            to: flags(&cut.to, member_count),
            begin: cut.begin,
            end: cut.end,
        });
        FaultIndex {
            deaths: first_events(&plan.deaths, member_count),
            leaves: first_events(&plan.leaves, member_count),
            cuts: cuts.collect(),
            pauses,
            plan,
        }
    }

    /// The plan itself.
    pub fn plan(&self) -> &FaultPlan {
        &self.plan
    }

    /// Whether a member has died by then.
    pub fn has_died(&self, member: usize, now: Micros) -> bool {
        has_happened(&self.deaths, member, now)
    }

    /// Whether a member has left by then.
    pub fn has_left(&self, member: usize, now: Micros) -> bool {
        has_happened(&self.leaves, member, now)
    }

    /// When a member that stands still goes on.
    pub fn paused_until(&self, member: usize, now: Micros) -> Option<Micros> {
        let pauses = self.pauses.get(member).into_iter().flatten();
        let current = pauses.filter(|pause| (pause.begin..pause.end).contains(&now));
        current.map(|pause| pause.end).max()
    }

    /// Whether nothing passes from one member to another.
    pub fn is_cut(&self, from: usize, to: usize, now: Micros) -> bool {
        let is_among = |flags: &[bool], member: usize| flags.get(member).copied().unwrap_or(false);
        self.cuts.iter().any(|cut| {
            (cut.begin..cut.end).contains(&now)
                && is_among(&cut.from, from)
                && is_among(&cut.to, to)
        })
    }
}

fn has_happened(events: &[Option<Micros>], member: usize, now: Micros) -> bool {
    let event = events.get(member).copied().flatten();
    event.is_some_and(|at| at <= now)
}

fn flags(members: &[usize], member_count: usize) -> Vec<bool> {
    let mut flags = vec![false; member_count];
    for member in members {
        if let Some(flag) = flags.get_mut(*member) {
            *flag = true;
        }
    }
    flags
}

/// The first of each member's events.
fn first_events(events: &[MemberEvent], member_count: usize) -> Vec<Option<Micros>> {
    let mut times: Vec<Option<Micros>> = vec![None; member_count];
    for event in events {
        if let Some(first) = times.get_mut(event.member) {
            *first = Some(first.map_or(event.at, |at| at.min(event.at)));
        }
    }
    times
}

//! The faults of a run, and an index of them by member, since the simulator looks them up for each
//! message and each tick.

use violetgate_membership::Micros;

/// A cut of links in one direction: all messages from the senders to the receivers are lost.
#[derive(Debug, Clone)]
pub struct Cut {
    /// The numbers of the sending members.
    pub from: Vec<usize>,
    /// The numbers of the receiving members.
    pub to: Vec<usize>,
    /// The start of the cut, in microseconds of simulated time.
    pub begin: Micros,
    /// The end of the cut, exclusive, in microseconds of simulated time.
    pub end: Micros,
}

/// A pause of a process; messages that arrive during the pause are delivered when it resumes.
#[derive(Debug, Clone, Copy)]
pub struct Pause {
    /// The number of the member whose process pauses.
    pub member: usize,
    /// The start of the pause, in microseconds of simulated time.
    pub begin: Micros,
    /// The end of the pause, exclusive, in microseconds of simulated time.
    pub end: Micros,
}

/// An event that happens to a member at a time, such as its death.
#[derive(Debug, Clone, Copy)]
pub struct MemberEvent {
    /// The number of the member.
    pub member: usize,
    /// The time of the event, in microseconds of simulated time.
    pub at: Micros,
}

/// The faults of a run.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    /// The fraction of messages that are lost, from 0 to 1.
    pub loss: f64,
    /// The maximum random delay of a message beyond the minimum latency of 1 ms, in microseconds.
    pub jitter: Micros,
    /// The pauses of processes.
    pub pauses: Vec<Pause>,
    /// The cuts of links.
    pub cuts: Vec<Cut>,
    /// Deaths of processes, which send no last message.
    pub deaths: Vec<MemberEvent>,
    /// Departures of processes, which announce that they leave and then end.
    pub leaves: Vec<MemberEvent>,
}

impl Cut {
    /// Returns the two cuts that separate two groups of members in both directions.
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

/// A cut with one flag per member for senders and receivers.
#[derive(Debug, Clone)]
struct CutIndex {
    from: Vec<bool>,
    to: Vec<bool>,
    begin: Micros,
    end: Micros,
}

/// A fault plan, indexed by member number.
#[derive(Debug, Clone)]
pub(crate) struct FaultIndex {
    plan: FaultPlan,
    deaths: Vec<Option<Micros>>,
    leaves: Vec<Option<Micros>>,
    pauses: Vec<Vec<Pause>>,
    cuts: Vec<CutIndex>,
}

impl FaultIndex {
    /// Indexes a plan for a fleet of `member_count` members.
    pub fn new(plan: FaultPlan, member_count: usize) -> Self {
        let mut pauses = vec![Vec::new(); member_count];
        for pause in &plan.pauses {
            if let Some(member_pauses) = pauses.get_mut(pause.member) {
                member_pauses.push(*pause);
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

    /// The plan from which this index was built.
    pub fn plan(&self) -> &FaultPlan {
        &self.plan
    }

    /// Whether a member has died at or before `now`.
    pub fn has_died(&self, member: usize, now: Micros) -> bool {
        has_happened(&self.deaths, member, now)
    }

    /// Whether a member has left at or before `now`.
    pub fn has_left(&self, member: usize, now: Micros) -> bool {
        has_happened(&self.leaves, member, now)
    }

    /// The end of a member's current pause; `None` if the member is not paused.
    pub fn paused_until(&self, member: usize, now: Micros) -> Option<Micros> {
        let pauses = self.pauses.get(member).into_iter().flatten();
        let current = pauses.filter(|pause| (pause.begin..pause.end).contains(&now));
        current.map(|pause| pause.end).max()
    }

    /// Whether messages from one member to another are lost because of a cut.
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

/// Returns the time of each member's earliest event.
fn first_events(events: &[MemberEvent], member_count: usize) -> Vec<Option<Micros>> {
    let mut times: Vec<Option<Micros>> = vec![None; member_count];
    for event in events {
        if let Some(first) = times.get_mut(event.member) {
            *first = Some(first.map_or(event.at, |at| at.min(event.at)));
        }
    }
    times
}

//! What goes wrong in a run, and an index of it by member: a large fleet asks for each message and each turn.

use violetgate_membership::Micros;

/// Messages from some to some others are lost in a span.
#[derive(Debug, Clone)]
pub struct Cut {
    /// From these.
    pub from: Vec<usize>,
    /// To these.
    pub to: Vec<usize>,
    /// From then on.
    pub begin: Micros,
    /// Until then.
    pub end: Micros,
}

/// What happens in a run.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    /// The share of messages that are lost.
    pub loss: f64,
    /// Messages take 1 ms and up to this much longer.
    pub jitter: Micros,
    /// A process stands still: which, from when, until when. What comes meanwhile is there when it goes on.
    pub pauses: Vec<(usize, Micros, Micros)>,
    /// Links that are cut.
    pub cuts: Vec<Cut>,
    /// A process dies without a word, at that time.
    pub deaths: Vec<(usize, Micros)>,
    /// A process says that it leaves, and goes.
    pub leaves: Vec<(usize, Micros)>,
}

/// A cut with its members as flags.
#[derive(Debug, Clone)]
struct CutIndex {
    from: Vec<bool>,
    to: Vec<bool>,
    begin: Micros,
    end: Micros,
}

/// A fault plan by member.
#[derive(Debug, Clone)]
pub(crate) struct FaultIndex {
    plan: FaultPlan,
    deaths: Vec<Option<Micros>>,
    leaves: Vec<Option<Micros>>,
    pauses: Vec<Vec<(Micros, Micros)>>,
    cuts: Vec<CutIndex>,
}

impl FaultIndex {
    /// The index of a plan for so many members.
    pub fn new(plan: FaultPlan, count: usize) -> Self {
        let mut pauses = vec![Vec::new(); count];
        for (i, from, to) in &plan.pauses {
            pauses
                .get_mut(*i)
                .into_iter()
                .for_each(|p| p.push((*from, *to)));
        }
        let cut = |c: &Cut| CutIndex {
            from: flags(&c.from, count),
            to: flags(&c.to, count),
            begin: c.begin,
            end: c.end,
        };
        FaultIndex {
            deaths: earliest(&plan.deaths, count),
            leaves: earliest(&plan.leaves, count),
            cuts: plan.cuts.iter().map(cut).collect(),
            pauses,
            plan,
        }
    }

    /// The plan itself.
    pub fn plan(&self) -> &FaultPlan {
        &self.plan
    }

    /// Whether a member has died by then.
    pub fn died(&self, i: usize, at: Micros) -> bool {
        self.deaths
            .get(i)
            .copied()
            .flatten()
            .is_some_and(|death| death <= at)
    }

    /// Whether a member has left by then.
    pub fn left(&self, i: usize, at: Micros) -> bool {
        self.leaves
            .get(i)
            .copied()
            .flatten()
            .is_some_and(|leave| leave <= at)
    }

    /// When a member that stands still goes on.
    pub fn paused_until(&self, i: usize, at: Micros) -> Option<Micros> {
        let pauses = self.pauses.get(i).into_iter().flatten();
        pauses
            .filter(|(from, to)| (*from..*to).contains(&at))
            .map(|(_, to)| *to)
            .max()
    }

    /// Whether nothing passes from one to another.
    pub fn is_cut(&self, from: usize, to: usize, at: Micros) -> bool {
        let holds = |flags: &[bool], i: usize| flags.get(i).copied().unwrap_or(false);
        self.cuts
            .iter()
            .any(|c| (c.begin..c.end).contains(&at) && holds(&c.from, from) && holds(&c.to, to))
    }
}

fn flags(members: &[usize], count: usize) -> Vec<bool> {
    let mut flags = vec![false; count];
    for member in members {
        flags
            .get_mut(*member)
            .into_iter()
            .for_each(|flag| *flag = true);
    }
    flags
}

fn earliest(events: &[(usize, Micros)], count: usize) -> Vec<Option<Micros>> {
    let mut times: Vec<Option<Micros>> = vec![None; count];
    for (member, at) in events {
        let time = times.get_mut(*member).into_iter();
        time.for_each(|time| *time = Some(time.map_or(*at, |t| t.min(*at))));
    }
    times
}

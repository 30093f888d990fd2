//! The phases of a run, in their order, and the figures that each adds.

mod faults;
mod steady;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use violetgate_fake_upstreams::{FakeUpstreams, Profile};

use super::changes::Changes;
use super::children::Children;
use super::control::{Control, CLUSTER};
use super::cost::Cost;
use super::fleet_watch::FleetWatch;
use super::in_force::{reached_changes, Change, Reached};
use super::layout::{program, Layout, Port};
use super::real::RealFrontEnds;
use super::{Plan, WholeRunError};
use crate::hollow::changes::{Digest, Faults, Sequence};
use crate::hollow::process::Part;
use crate::hollow::report::{Command, SequenceCount, Totals, Traffic};
use crate::Figures;

/// How long front ends may take until all of them serve.
const SERVE: Duration = Duration::from_secs(120);
/// How long the last change may take to be in force everywhere before sequences are compared.
const LAST: Duration = Duration::from_secs(10);

/// A run. Its parts end in the order in which they stand here.
pub(super) struct Run<'a> {
    plan: &'a Plan,
    changes: Option<Changes>,
    fleet: FleetWatch,
    children: Children,
    real: RealFrontEnds,
    control: Control,
    _engines: FakeUpstreams,
    _layout: Layout,
    /// The most memory of all processes that was found.
    peak_memory: u64,
}

impl<'a> Run<'a> {
    /// Starts engines, control processes, real front ends and the processes of hollow ones, which are empty yet.
    pub(super) fn start(plan: &'a Plan) -> Result<Self, WholeRunError> {
        let layout = Layout::new()?;
        let serve = program("violetgate")?;
        let engines = FakeUpstreams::start(plan.engines, Profile::default());
        let engines = engines.map_err(WholeRunError::machine("start stand-in engines"))?;
        let control = Control::start(plan, &layout, &serve, &engines)?;
        let fleet = FleetWatch::start(control.managements());
        let settings = |index: usize| front_end_settings(plan, &layout, Some(index));
        let real = RealFrontEnds::start(plan, &layout, &serve, &engines, settings)?;
        let (config, settings) = hollow_files(plan, &layout, &engines)?;
        let children = Children::start(plan, &config, &settings)?;
        let run = Run {
            plan,
            fleet,
            changes: None,
            children,
            real,
            control,
            _engines: engines,
            _layout: layout,
            peak_memory: 0,
        };
        Ok(run)
    }

    /// Goes through all phases.
    pub(super) fn measure(mut self, figures: &mut Figures) -> Result<(), WholeRunError> {
        let begun = Instant::now();
        let apis = self.control.apis();
        let inputs = self.children.inputs().clone();
        self.changes = Some(Changes::start(apis, self.plan.changes_per_second, inputs));
        self.grow(self.plan.first_step)?;
        let first_step = self.voters_messages_per_second()?;
        self.grow(self.plan.hollow)?;
        let unanswered = self.plan.real - self.real.answer_queries().min(self.plan.real);
        figures.at_most("scale_real_not_answering", unanswered as f64, 0.0);
        self.pass(self.plan.settle)?;
        self.measure_steady(first_step, figures)?;
        self.kill_observer(figures)?;
        self.kill_leader(figures)?;
        self.return_at_once(figures)?;
        self.compare_sequences(figures)?;
        self.add_sizes(figures);
        figures.add_number("scale_run_s", begun.elapsed().as_secs_f64());
        Ok(())
    }

    /// Has so many hollow front ends run, and waits until all of them and the real ones serve.
    fn grow(&mut self, hollow: usize) -> Result<(), WholeRunError> {
        let per_second = (self.plan.starts_per_second / self.plan.processes.max(1) as u32).max(1);
        let plan = self.plan;
        self.children.inputs().send_each(|process| Command::Start {
            running: plan.share(hollow, process),
            per_second: Some(per_second),
        });
        self.wait_until_serving(hollow)
    }

    /// Waits until so many hollow front ends and all real ones serve.
    fn wait_until_serving(&mut self, hollow: usize) -> Result<(), WholeRunError> {
        let until = Instant::now() + SERVE;
        loop {
            self.children.check()?;
            let (running, serving) = self.children.running_and_serving();
            let real = self.real.serving();
            if serving == hollow && real == self.plan.real {
                return Ok(());
            }
            if Instant::now() > until {
                let what = format!(
                    "{hollow} hollow and {} real front ends serve",
                    self.plan.real
                );
                let found = format!(
                    "{running} run, {serving} and {real} serve; {}",
                    last_lines(&self.real.log())
                );
                return Err(WholeRunError::Late {
                    what,
                    seconds: SERVE.as_secs(),
                    found,
                });
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Lets a time pass while everything goes on.
    fn pass(&mut self, time: Duration) -> Result<(), WholeRunError> {
        std::thread::sleep(time);
        self.note_memory();
        self.children.check()
    }

    fn note_memory(&mut self) {
        self.peak_memory = self.peak_memory.max(Cost::sum(self.pids()).memory);
    }

    /// Process ids of the whole run, this one among them.
    fn pids(&self) -> Vec<u32> {
        let (voters, observers) = self.control.pids();
        let own = vec![std::process::id()];
        [
            own,
            voters,
            observers,
            self.children.pids(),
            self.real.pids(),
        ]
        .concat()
    }

    fn made(&self) -> Vec<Change> {
        self.changes.as_ref().map(Changes::made).unwrap_or_default()
    }

    /// What every hollow process has reached, and the whole fleet as the observers sum it up.
    fn reached(&self) -> Vec<Reached> {
        let fleet = reached_changes(&self.fleet.revisions(), &self.made());
        self.children.reached().into_iter().chain([fleet]).collect()
    }

    /// What every real front end has reached, read once a second.
    fn reached_by_real(&self) -> Vec<Reached> {
        let made = self.made();
        self.real
            .watched()
            .iter()
            .map(|watched| reached_changes(&watched.revisions, &made))
            .collect()
    }

    /// The totals of all hollow processes as one.
    fn totals(&self) -> Totals {
        let mut sum = Totals::default();
        for totals in self.children.totals() {
            sum.running += totals.running;
            sum.serving += totals.serving;
            sum.gates_shut += totals.gates_shut;
            sum.stale += totals.stale;
            sum.faults.add(totals.faults);
            sum.traffic.add(totals.traffic);
            sum.bus_heard += totals.bus_heard;
            sum.sequences.extend(totals.sequences);
            for (observer, count) in totals.watching {
                *sum.watching.entry(observer).or_insert(0) += count;
            }
            let shares = [sum.shares, totals.shares].into_iter().flatten();
            sum.shares = shares.reduce(|a, b| (a.0.min(b.0), a.1.max(b.1)));
        }
        sum
    }

    /// Makes no more changes, and compares what each front end has seen with what was answered.
    fn compare_sequences(&mut self, figures: &mut Figures) -> Result<(), WholeRunError> {
        if let Some(changes) = &mut self.changes {
            changes.stop();
        }
        let made = self.made();
        let last = made.last().map_or(0, |change| change.number);
        let until = Instant::now() + LAST;
        while super::in_force::in_force_at(&self.reached(), last).is_none()
            && Instant::now() < until
        {
            self.pass(Duration::from_millis(50))?;
        }
        // Totals are reported four times a second.
        self.pass(Duration::from_millis(600))?;
        let totals = self.totals();
        let fronts = |which: &dyn Fn(&SequenceCount) -> bool| -> usize {
            totals
                .sequences
                .iter()
                .filter(|counted| which(counted))
                .map(|counted| counted.front_ends)
                .sum()
        };
        let differing = fronts(&|counted| !matches(counted.sequence, &made));
        let behind = fronts(&|counted| counted.sequence.last < last);
        let Faults {
            lost,
            doubled,
            out_of_order,
        } = totals.faults;
        figures.at_most("scale_stale_routed", totals.stale as f64, 0.0);
        figures.at_most("scale_lost_changes", lost as f64, 0.0);
        figures.at_most("scale_doubled_changes", doubled as f64, 0.0);
        figures.at_most("scale_out_of_order_changes", out_of_order as f64, 0.0);
        figures.at_most("scale_front_ends_with_other_changes", differing as f64, 0.0);
        figures.add("scale_front_ends_behind_at_end", behind);
        figures.add("scale_changes", made.len());
        Ok(())
    }

    fn add_sizes(&mut self, figures: &mut Figures) {
        self.note_memory();
        figures.add("scale_front_ends", self.plan.front_ends());
        figures.add("scale_real_front_ends", self.plan.real);
        figures.add("scale_processes", self.pids().len());
        figures.add(
            "scale_parts",
            self.plan
                .parts
                .iter()
                .map(|p| p.name())
                .collect::<Vec<_>>()
                .join("+"),
        );
        figures.add_number("scale_run_memory_mb", self.peak_memory as f64 / MEGABYTE);
        figures.at_most("scale_crashed", self.control.crashed() as f64, 0.0);
    }
}

/// Lines of a log that go into an error.
const LAST_LINES: usize = 8;

fn last_lines(log: &str) -> String {
    let lines: Vec<_> = log
        .lines()
        .filter(|line| !line.starts_with("management"))
        .collect();
    let from = lines.len().saturating_sub(LAST_LINES);
    lines.get(from..).unwrap_or_default().join(" | ")
}

/// Bytes of a megabyte.
const MEGABYTE: f64 = 1_048_576.0;

/// Whether a front end saw exactly the changes that were answered, from its first to its last one.
fn matches(seen: Sequence, made: &[Change]) -> bool {
    let mut digest = Digest::default();
    for change in made
        .iter()
        .filter(|change| (seen.first..=seen.last).contains(&change.number))
    {
        digest.add(change.number, change.revision);
    }
    seen.first > 0 && seen.digest == digest
}

/// The settings of a front end; `None`: the template of hollow ones.
fn front_end_settings(plan: &Plan, layout: &Layout, real: Option<usize>) -> String {
    let fleet = real.map_or(layout.hollow(0), |index| layout.real(index, Port::Fleet));
    let member = real.map_or("hollow".to_owned(), |index| format!("real-{index}"));
    let seeds: Vec<_> = (0..plan.real)
        .map(|index| format!("\"{}\"", layout.real(index, Port::Fleet)))
        .collect();
    let observers = plan.voters + 1..=plan.voters + plan.observers;
    let observers: String = observers
        .map(|id| {
            format!(
                "    \"{id}\" = \"{}\"\n",
                layout.control(id, Port::Subscribers)
            )
        })
        .collect();
    let mut text = format!(
        "cluster {{\n  role = \"subscriber\"\n  name = \"{CLUSTER}\"\n  front_end = \"{member}\"\n  \
         observers = {{\n{observers}  }}\n}}\n"
    );
    if plan.parts.contains(&Part::Membership) {
        text += &format!(
            "fleet {{\n  name = \"{CLUSTER}\"\n  member = \"{member}\"\n  listen = \"{fleet}\"\n  seeds = [{}]\n}}\n",
            seeds.join(", ")
        );
    }
    text
}

fn hollow_files(
    plan: &Plan,
    layout: &Layout,
    engines: &FakeUpstreams,
) -> Result<(PathBuf, PathBuf), WholeRunError> {
    let folder = layout.folder("hollow")?;
    let listen = layout.hollow(0).to_string();
    let config = engines.config("hollow", &listen, &violetgate_fake_upstreams::settings());
    let config = layout.write(&folder, "config.json", &config.to_string())?;
    let settings = layout.write(
        &folder,
        "violetgate.hcl",
        &front_end_settings(plan, layout, None),
    )?;
    Ok((config, settings))
}

/// Bytes a second of one front end.
fn bytes_per_second(before: Traffic, after: Traffic, front_ends: usize, elapsed: Duration) -> f64 {
    let bytes = after.total().saturating_sub(before.total());
    bytes as f64 / elapsed.as_secs_f64().max(1e-9) / front_ends.max(1) as f64
}

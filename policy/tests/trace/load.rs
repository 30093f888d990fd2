//! Generates queries, the outcomes of their attempts, and events of the engines.

use violetgate_policy::interface::{
    AttemptEnded, Cost, Engine, EngineId, EngineState, ListScope, LoadReport, Micros, NewQuery,
    Outcome, Progress, QueryId,
};
use violetgate_policy::Event;

use super::{Due, Fault, SimulatedQuery, Simulation, MS, S};

/// A simulated engine: its entry in the list, its fault and the number of its running attempts.
pub struct SimulatedEngine {
    pub entry: Engine,
    pub(super) fault: Fault,
    pub in_flight: u32,
}

pub fn simulated_engines(count: u32) -> Vec<SimulatedEngine> {
    let entry = |id| Engine {
        id,
        zone: id % 3,
        kind: id % 2,
        cell: id % 5,
        state: EngineState::Ready,
        started: None,
    };
    (0..count)
        .map(|id| SimulatedEngine {
            entry: entry(id),
            fault: Fault::None,
            in_flight: 0,
        })
        .collect()
}

impl Simulation {
    /// Schedules the next arrival. Two seconds out of ten are an overload.
    pub(super) fn next_arrival(&mut self) {
        let overloaded = (self.now / S) % 10 >= 8;
        let gap = self.scenario.gap * if overloaded { 1 } else { 5 } / 2;
        let wait = 1 + self.draw(gap);
        self.schedule(wait, Due::Arrive);
    }

    pub(super) fn arrive(&mut self) -> Event {
        self.next_query += 1;
        let id = self.next_query;
        // One query in fifty is of a class that is not in the settings.
        let classes = self.scenario.settings.classes.len() as u64;
        let class = if self.one_in(50) {
            classes + 3
        } else {
            self.draw(classes)
        } as u32;
        let long = class % 3 == 1;
        let work = (5 + self.draw(60)) * MS * if long { 10 } else { 1 };
        let memory_mb = (10 + self.draw(300)) as f64;
        let client_retry = self.one_in(6);
        let client_timeout = if client_retry {
            (1 + self.draw(30)) * 100 * MS
        } else {
            10 * S
        };
        let estimate = 1 + work * (40 + self.draw(160)) / 100;
        let request = NewQuery {
            id,
            class,
            tenant: (id % 4) as u32,
            estimated_work: (!self.one_in(4)).then_some(estimate),
            estimated_memory_mb: (!self.one_in(3))
                .then_some(memory_mb * (50 + self.draw(100)) as f64 / 100.0),
            client_timeout,
            table_group: (!self.one_in(3)).then(|| self.draw(6)),
            ordering_key: (!self.one_in(3)).then(|| self.draw(12)),
            is_client_retry: client_retry,
            earlier_run: None,
        };
        if self.one_in(25) {
            let wait = self.draw(2 * S);
            self.schedule(wait, Due::ClientDisconnects(id));
        }
        let state = SimulatedQuery {
            class,
            deadline: self.now + client_timeout,
            work,
            memory_mb,
            attempts: 0,
            in_flight: None,
            granted_mb: 0.0,
            finished: false,
        };
        self.queries.insert(id, state);
        Event::QueryArrived(request)
    }

    pub(super) fn send(&mut self, query: QueryId, engine: EngineId) {
        self.seen.sends += 1;
        let Some(state) = self.queries.get_mut(&query) else {
            return;
        };
        self.seen.further_sends += u32::from(state.attempts > 0);
        let attempt = state.attempts;
        state.attempts += 1;
        state.in_flight = Some((engine, self.now));
        let (class, work, deadline) = (state.class, state.work, state.deadline);
        let missing_mb = state.memory_mb - state.granted_mb;
        let simulated = &mut self.engines[engine as usize];
        simulated.in_flight += 1;
        let fault = simulated.fault;
        let load_percent = 100 + 12 * u64::from(simulated.in_flight);
        let slowdown = if fault == Fault::Slow { 8 } else { 1 };
        let run = (work * load_percent / 100 * slowdown * (80 + self.draw(60)) / 100).max(1);
        let time_out = deadline.saturating_sub(self.now).max(1);
        let silent = fault == Fault::Silent || fault == Fault::DropsClass(class);
        let chance = self.draw(100);
        let (wait, outcome) = match fault {
            Fault::Errs => (MS + self.draw(3 * MS), Outcome::Error),
            Fault::RefusesConnections => (200 + self.draw(MS), Outcome::ConnectionRefused),
            Fault::Full => (300 + self.draw(MS), Outcome::Overloaded),
            _ if silent || run >= time_out => (time_out, Outcome::TimedOut),
            _ if chance == 0 => (run / 2 + 1, Outcome::Error),
            _ if chance == 1 => (run / 3 + 1, Outcome::ConnectionLost),
            _ if chance == 2 => (50, Outcome::NeverSent),
            _ => (run, Outcome::Completed),
        };
        let end = Due::End {
            query,
            attempt,
            outcome,
        };
        self.schedule(wait, end);
        if !silent {
            self.schedule_progress(query, attempt, run.min(time_out), missing_mb);
        }
    }

    /// Schedules the progress reports of an attempt, if there are any, and in one case of twelve
    /// the start of a streamed response. Some reports say that the query waits for memory or for a
    /// bulk load, or that it spills.
    fn schedule_progress(&mut self, query: QueryId, attempt: u32, run: Micros, missing_mb: f64) {
        if self.scenario.settings.progress_period.is_some() {
            for part in 1..4 {
                let progress = match self.draw(24) {
                    0 => Progress::WaitingForMemory,
                    1 => Progress::WaitingForBulkLoad,
                    2 => Progress::FractionDone(0.01),
                    3 if missing_mb > 0.0 => Progress::Spilling(missing_mb),
                    _ => Progress::FractionDone(part as f64 / 4.0),
                };
                let report = Due::Progress {
                    query,
                    attempt,
                    progress,
                };
                self.schedule(run * part / 4, report);
            }
        }
        if self.one_in(12) {
            self.schedule(run * 9 / 10, Due::ResponseStarts(query));
        }
    }

    pub(super) fn end(&mut self, query: QueryId, attempt: u32, outcome: Outcome) -> Option<Event> {
        if !self.is_out(query, attempt) {
            return None;
        }
        let completed = outcome == Outcome::Completed;
        let state = self.queries.get_mut(&query)?;
        let (engine, sent) = state.in_flight.take()?;
        let (work, memory_mb) = (state.work, state.memory_mb);
        if state.finished || completed {
            self.queries.remove(&query);
        }
        self.engines[engine as usize].in_flight -= 1;
        let elapsed = self.now - sent;
        let cost = (completed && self.scenario.reports_cost).then_some(Cost { work, memory_mb });
        let load = self.load_report(engine);
        Some(Event::AttemptEnded(AttemptEnded {
            query,
            attempt,
            engine,
            outcome,
            query_answered: completed,
            elapsed,
            cost,
            load,
        }))
    }

    fn load_report(&mut self, engine: EngineId) -> LoadReport {
        if !self.scenario.reports || self.one_in(4) {
            return LoadReport::default();
        }
        let in_flight = self.engines[engine as usize].in_flight;
        let busy = (self.draw(50) as f64 + 12.0 * f64::from(in_flight)) / 100.0;
        LoadReport {
            cpu_utilisation: Some(busy),
            disk_utilisation: self.one_in(3).then_some(busy * 0.9),
            memory_utilisation: Some(0.5),
            memory_queue_length: None,
        }
    }

    /// Generates an event of an engine, a cordon, the engine list or the number of gateways.
    pub(super) fn engine_event(&mut self) -> Event {
        let wait = 1 + self.draw(120 * MS);
        self.schedule(wait, Due::EngineEvent);
        let engine = self.draw(u64::from(self.scenario.engines)) as EngineId;
        match self.draw(14) {
            0..=3 => self.change_fault(engine),
            4 => Event::Cordon {
                engine,
                cordoned: !self.one_in(4),
            },
            5 => Event::Cordon {
                engine,
                cordoned: false,
            },
            6 => Event::FleetSize {
                gateways: (self.scenario.settings.gateways.unwrap_or(1) as u64 + self.draw(3))
                    as u32,
            },
            7 => self.list(ListScope::StaleSnapshot),
            8 => self.list(ListScope::WatchFailed),
            9 => self.list(ListScope::Snapshot),
            10 => {
                let load = self.load_report(engine);
                let answered = self.engines[engine as usize].fault != Fault::Silent;
                Event::HealthChecked {
                    engine,
                    passed: answered,
                    load,
                }
            }
            _ => self.list(ListScope::Patch),
        }
    }

    /// Sets the same fault, or none, on every fortieth engine, or in one case of twelve on every
    /// second engine.
    fn change_fault(&mut self, engine: EngineId) -> Event {
        let fault = match self.draw(16) {
            0 => Fault::Slow,
            1 => Fault::Errs,
            2 => Fault::Silent,
            3 => Fault::RefusesConnections,
            4 => Fault::Full,
            5 | 6 => Fault::DropsClass(self.draw(3) as u32),
            _ => Fault::None,
        };
        let step = if self.one_in(12) { 2 } else { 40 };
        let first = engine as usize % step;
        for simulated in self.engines.iter_mut().skip(first).step_by(step) {
            simulated.fault = fault;
        }
        Event::TimerFired
    }

    /// Generates an engine list. A patch changes one engine.
    pub(super) fn list(&mut self, scope: ListScope) -> Event {
        let mut engines = Vec::new();
        match scope {
            ListScope::Snapshot | ListScope::StaleSnapshot => {
                // An engine that is left out counts as removed.
                let left_out = self.draw(20 * u64::from(self.scenario.engines));
                let kept = |m: &&SimulatedEngine| u64::from(m.entry.id) != left_out;
                engines.extend(self.engines.iter().filter(kept).map(|m| m.entry));
            }
            ListScope::Patch => {
                let id = self.draw(u64::from(self.scenario.engines)) as usize;
                let restarted = self.one_in(2).then_some(self.now);
                let state = match self.draw(8) {
                    0 => EngineState::Draining,
                    1 => EngineState::Removed,
                    _ => EngineState::Ready,
                };
                let entry = &mut self.engines[id].entry;
                entry.state = state;
                entry.started = restarted.or(entry.started);
                engines.push(*entry);
            }
            ListScope::WatchFailed => {}
        }
        Event::EngineList { scope, engines }
    }
}

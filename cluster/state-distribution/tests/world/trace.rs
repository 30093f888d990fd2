//! Computes a digest of all actions and states of the observers and subscribers, in order. The
//! digest is an FNV-1a hash over numbers and encoded messages, so it does not depend on any
//! identifier.

use serde::Serialize;
use violetgate_replicated_state::Entries;
use violetgate_state_distribution::*;

use super::World;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A record of the digest. [`Trace::record`] hashes a number for the kind before its contents.
pub enum Record<'a> {
    ToSubscriber(u64, &'a ObserverMessage),
    Close(u64, &'a Rejection),
    Read(ReadId),
    Connect(u64, &'a SubscriberHello),
    Disconnect(u64),
    ToObserver(u64, &'a SubscriberMessage),
    Welcome(u64, &'a ObserverWelcome),
    ReadEnded(ReadId, bool),
    Applied(usize),
    SubscriberState(&'a Subscriber),
    ObserverState(&'a Observer),
}

pub struct Trace {
    hash: u64,
    pub records: u64,
    fleet: FleetProgress,
}

impl Default for Trace {
    fn default() -> Self {
        Trace {
            hash: FNV_OFFSET,
            records: 0,
            fleet: FleetProgress::default(),
        }
    }
}

impl Trace {
    pub fn digest(&self) -> u64 {
        self.hash
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    fn numbers(&mut self, numbers: &[u64]) {
        for number in numbers {
            self.bytes(&number.to_le_bytes());
        }
    }

    fn encoded(&mut self, value: &impl Serialize) {
        self.bytes(&postcard::to_stdvec(value).unwrap());
    }

    fn record(&mut self, now: u64, process: u64, record: Record) {
        self.records += 1;
        self.numbers(&[now, process]);
        match record {
            Record::ToSubscriber(connection, message) => {
                self.numbers(&[1, connection]);
                self.encoded(message);
            }
            Record::Close(connection, rejection) => {
                self.numbers(&[2, connection]);
                self.encoded(rejection);
            }
            Record::Read(read) => self.numbers(&[3, read]),
            Record::Connect(observer, hello) => {
                self.numbers(&[4, observer]);
                self.encoded(hello);
            }
            Record::Disconnect(observer) => self.numbers(&[5, observer]),
            Record::ToObserver(observer, message) => {
                self.numbers(&[6, observer]);
                self.encoded(message);
            }
            Record::Welcome(connection, welcome) => {
                self.numbers(&[7, connection]);
                self.encoded(welcome);
            }
            Record::ReadEnded(read, current) => self.numbers(&[8, read, u64::from(current)]),
            Record::Applied(count) => self.numbers(&[9, count as u64]),
            Record::SubscriberState(core) => self.subscriber(now, core),
            Record::ObserverState(core) => self.observer(now, process, core),
        }
    }

    fn subscriber(&mut self, now: u64, core: &Subscriber) {
        let HeldObservers { watched, standby } = core.held_observers();
        self.numbers(&[
            10,
            core.replica().revision(),
            core.time_until_stale(now),
            core.next_tick(),
            watched.unwrap_or(u64::MAX),
            standby.unwrap_or(u64::MAX),
        ]);
        if let Some(rejection) = core.rejection() {
            self.encoded(rejection);
        }
    }

    fn observer(&mut self, now: u64, id: u64, core: &Observer) {
        let sizes = core.sizes();
        let counts = [
            sizes.subscribers,
            sizes.current,
            sizes.awaiting,
            sizes.polls_waiting,
            sizes.polls_reading,
            sizes.snapshots_active,
            sizes.snapshots_queued,
            sizes.departed,
        ];
        self.numbers(&[11, core.next_tick()]);
        self.numbers(&counts.map(|count| count as u64));
        let summary = core.progress(now);
        self.encoded(&summary);
        self.fleet.report(now, id, summary);
        let totals = self.fleet.record(now, 100_000);
        self.encoded(&totals);
        if let Some(latest) = self.fleet.in_force().last().copied() {
            self.encoded(&latest);
        }
    }
}

impl World {
    pub(super) fn trace(&mut self, process: u64, record: Record) {
        if let Some(trace) = &mut self.trace {
            trace.record(self.now, process, record);
        }
    }

    pub(super) fn trace_observer(&mut self, id: u64, action: &ObserverAction) {
        let record = match action {
            ObserverAction::Send {
                connection,
                message,
            } => Record::ToSubscriber(*connection, message),
            ObserverAction::Close {
                connection,
                rejection,
            } => Record::Close(*connection, rejection),
            ObserverAction::BeginRead(read) => Record::Read(*read),
        };
        self.trace(id, record);
    }

    pub(super) fn trace_subscriber(&mut self, n: usize, action: &SubscriberAction) {
        let record = match action {
            SubscriberAction::Connect {
                observer: id,
                hello,
            } => Record::Connect(*id, hello),
            SubscriberAction::Disconnect(id) => Record::Disconnect(*id),
            SubscriberAction::Send {
                observer: id,
                message,
            } => Record::ToObserver(*id, message),
        };
        self.trace(n as u64, record);
    }

    /// Records the states of all observers and subscribers, if there is a trace.
    pub(super) fn trace_states(&mut self) {
        let Some(trace) = &mut self.trace else { return };
        for (n, process) in self.subscribers.iter().enumerate() {
            trace.record(self.now, n as u64, Record::SubscriberState(&process.core));
        }
        for (id, process) in &self.observers {
            if let Some(core) = &process.core {
                trace.record(self.now, *id, Record::ObserverState(core));
            }
        }
    }
}

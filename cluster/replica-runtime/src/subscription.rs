//! A front end's side of the distribution: it connects to observers as the core asks, and keeps the replica.

mod observer_connection;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use violetgate_raft::NodeId;
use violetgate_replicated_state::{Entries, Micros, Revision, Stale};
use violetgate_state_distribution::{
    HeldObservers, Rejection, Subscriber, SubscriberAction, SubscriberConfig, SubscriberHello,
    SubscriberMessage, SubscriberReplica,
};

use crate::clock::{boot, Alarm};
use crate::connection::STALLED;
use crate::send_queue::SendQueue;
use crate::traffic_stats::{Counter, TrafficStats};
use crate::wire;

/// Bytes that may wait for one observer: polls and requests are short and few.
const QUEUE_LIMIT: usize = 64 << 10;

/// What is called with the replica once more is applied to it.
pub type ReplicaCallback = Rc<dyn Fn(&SubscriberReplica)>;

/// What a subscription is at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubscriptionStatus {
    /// The replica's revision.
    pub revision: Revision,
    /// The observer that it watches.
    pub watched: Option<NodeId>,
    /// The observer that it holds in standby.
    pub standby: Option<NodeId>,
    /// Whether state may be routed on, or how old it is.
    pub freshness: Result<(), Stale>,
    /// Why an observer turned this front end away last, while that is in force.
    pub rejection: Option<Rejection>,
}

/// A connection to an observer, or an attempt at one.
struct ObserverConnection {
    number: u64,
    send_queue: Rc<SendQueue>,
    task: Task<()>,
}

/// A front end's subscription. It ends with the last reference to it.
pub struct Subscription {
    me: Weak<Subscription>,
    executor: Rc<LocalExecutor<'static>>,
    addresses: BTreeMap<NodeId, SocketAddr>,
    core: RefCell<Subscriber>,
    alarm: Rc<Alarm>,
    observer_connections: RefCell<BTreeMap<NodeId, ObserverConnection>>,
    next_link: Cell<u64>,
    /// Why the last connection to each observer ended.
    last_ends: RefCell<BTreeMap<NodeId, &'static str>>,
    on_applied: RefCell<Vec<ReplicaCallback>>,
    told: Cell<Revision>,
    counter: Counter,
    timer: RefCell<Option<Task<()>>>,
}

impl Subscription {
    /// Begins to subscribe to the observers at these addresses. Nothing may be sent until its state is confirmed.
    #[must_use]
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        config: SubscriberConfig,
        addresses: BTreeMap<NodeId, SocketAddr>,
        seed: u64,
    ) -> Rc<Self> {
        let subscription = Rc::new_cyclic(|me| Subscription {
            me: me.clone(),
            executor: Rc::clone(executor),
            addresses,
            core: RefCell::new(Subscriber::new(config, seed, boot())),
            alarm: Rc::default(),
            observer_connections: RefCell::default(),
            next_link: Cell::new(1),
            last_ends: RefCell::default(),
            on_applied: RefCell::default(),
            told: Cell::new(0),
            counter: Counter::default(),
            timer: RefCell::default(),
        });
        let timer = keep_time(Rc::downgrade(&subscription), Rc::clone(&subscription.alarm));
        *subscription.timer.borrow_mut() = Some(executor.spawn(timer));
        subscription
    }

    /// Adds to what is called in the very turn in which more is applied; it is called at once, too.
    pub fn on_applied(&self, f: ReplicaCallback) {
        f(self.core.borrow().replica());
        self.on_applied.borrow_mut().push(f);
    }

    /// Whether a send may leave now on the state that is here.
    ///
    /// # Errors
    ///
    /// The state is too old.
    pub fn may_route(&self) -> Result<(), Stale> {
        self.core.borrow().may_route(boot())
    }

    /// How long sends may go on from now without another confirmation; zero: none may leave.
    #[must_use]
    pub fn time_until_stale(&self) -> Duration {
        Duration::from_micros(self.core.borrow().time_until_stale(boot()))
    }

    /// Reads the replica as it is applied here.
    pub fn replica<T>(&self, read: impl FnOnce(&SubscriberReplica) -> T) -> T {
        read(self.core.borrow().replica())
    }

    /// What it is at.
    #[must_use]
    pub fn status(&self) -> SubscriptionStatus {
        let core = self.core.borrow();
        let HeldObservers { watched, standby } = core.held_observers();
        SubscriptionStatus {
            revision: core.replica().revision(),
            watched,
            standby,
            freshness: core.may_route(boot()),
            rejection: core.rejection().cloned(),
        }
    }

    /// Messages and bytes exchanged with observers, greetings among them.
    #[must_use]
    pub fn traffic(&self) -> TrafficStats {
        self.counter.traffic()
    }

    /// Does something with the core, and carries out what follows.
    fn with(&self, act: impl FnOnce(&mut Subscriber, Micros)) {
        act(&mut self.core.borrow_mut(), boot());
        self.tell_applied();
        loop {
            let actions = self.core.borrow_mut().take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    SubscriberAction::Connect { observer, hello } => self.connect(observer, hello),
                    SubscriberAction::Disconnect(observer) => {
                        drop(self.observer_connections.borrow_mut().remove(&observer))
                    }
                    SubscriberAction::Send { observer, message } => self.send(observer, &message),
                }
            }
        }
        self.alarm.set(self.core.borrow().next_tick());
    }

    /// Tells what was applied, before anything else can be decided on it.
    fn tell_applied(&self) {
        let core = self.core.borrow();
        let replica = core.replica();
        if self.told.replace(replica.revision()) == replica.revision() {
            return;
        }
        let callbacks = self.on_applied.borrow().clone();
        callbacks.iter().for_each(|f| f(replica));
    }

    fn connect(&self, observer: NodeId, hello: SubscriberHello) {
        let Some(address) = self.addresses.get(&observer).copied() else {
            return self.core.borrow_mut().disconnected(boot(), observer, None);
        };
        let number = self.next_link.get();
        self.next_link.set(number + 1);
        let send_queue = SendQueue::new(QUEUE_LIMIT, STALLED);
        let place = observer_connection::Place {
            of: self.me.clone(),
            observer,
            number,
            address,
        };
        let task = self.executor.spawn(observer_connection::keep(
            place,
            hello,
            Rc::clone(&send_queue),
        ));
        self.observer_connections.borrow_mut().insert(
            observer,
            ObserverConnection {
                number,
                send_queue,
                task,
            },
        );
    }

    fn send(&self, observer: NodeId, message: &SubscriberMessage) {
        let send_queue = self
            .observer_connections
            .borrow()
            .get(&observer)
            .map(|link| Rc::clone(&link.send_queue));
        let Some(send_queue) = send_queue else { return };
        match wire::frame(message) {
            Some(frame) => {
                self.counter.sent(frame.len());
                if !send_queue.push(Rc::new(frame)) {
                    send_queue.abort("queue_full");
                }
            }
            None => send_queue.abort("frame_too_long"),
        }
    }

    /// Whether this is the connection to an observer that the core knows of.
    fn holds(&self, observer: NodeId, number: u64) -> bool {
        self.observer_connections
            .borrow()
            .get(&observer)
            .is_some_and(|link| link.number == number)
    }

    /// Whether the connection to an observer ends for another reason than the one before.
    fn ends_anew(&self, observer: NodeId, reason: &'static str) -> bool {
        self.last_ends.borrow_mut().insert(observer, reason) != Some(reason)
    }

    /// A connection has ended, or could not be made; its task ends with this call.
    fn ended(&self, observer: NodeId, number: u64, rejection: Option<&Rejection>) {
        if !self.holds(observer, number) {
            return;
        }
        if let Some(link) = self.observer_connections.borrow_mut().remove(&observer) {
            link.task.detach();
        }
        self.with(|core, now| core.disconnected(now, observer, rejection));
    }
}

/// Tells the core the time whenever it wants to be.
async fn keep_time(of: Weak<Subscription>, alarm: Rc<Alarm>) {
    while let Some(subscription) = of.upgrade() {
        subscription.with(|core, now| core.tick(now));
        drop(subscription);
        alarm.due().await;
    }
}

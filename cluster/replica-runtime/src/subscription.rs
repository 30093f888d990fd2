//! Runs a gateway's subscription: connects to observers as the [`Subscriber`] core requests, and
//! holds the gateway's replica of the state.

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
    HeldObservers, InvalidSubscriberConfig, Rejection, Subscriber, SubscriberAction,
    SubscriberConfig, SubscriberHello, SubscriberMessage, SubscriberReplica,
};

use crate::clock::{boot_time, TickTimer};
use crate::close_reason::CloseReason;
use crate::framing::STALL_TIMEOUT;
use crate::send_queue::SendQueue;
use crate::traffic_stats::{TrafficCounter, TrafficStats};
use crate::wire;
use observer_connection::ConnectionContext;

/// The maximum number of bytes queued for one observer. Polls and requests are short and few.
const MAX_QUEUED_BYTES: usize = 64 << 10;

/// A callback that receives the replica whenever further changes were applied to it.
pub type ReplicaCallback = Rc<dyn Fn(&SubscriberReplica)>;

/// The state of a subscription at one moment, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubscriptionStatus {
    /// The revision of the replica.
    pub revision: Revision,
    /// The observer that sends changes to this gateway.
    pub watched: Option<NodeId>,
    /// The observer from which changes are requested if the one in `watched` fails.
    pub standby: Option<NodeId>,
    /// Whether requests may be routed on the replica. The error holds the replica's age.
    pub freshness: Result<(), Stale>,
    /// The latest rejection. An observer's rejection is dropped when that observer accepts this
    /// gateway.
    pub rejection: Option<Rejection>,
}

/// Identifies a connection among all connections that a subscription has made.
type ConnectionNumber = u64;

/// A connection to an observer, which may still be in progress.
struct ObserverConnection {
    number: ConnectionNumber,
    queue: Rc<SendQueue>,
    task: Task<()>,
}

/// A gateway's subscription. Dropping the last reference ends it.
pub struct Subscription {
    weak_self: Weak<Subscription>,
    executor: Rc<LocalExecutor<'static>>,
    addresses: BTreeMap<NodeId, SocketAddr>,
    core: RefCell<Subscriber>,
    tick_timer: Rc<TickTimer>,
    connections: RefCell<BTreeMap<NodeId, ObserverConnection>>,
    next_connection: Cell<ConnectionNumber>,
    /// The reason for which the last connection to each observer ended.
    last_ends: RefCell<BTreeMap<NodeId, CloseReason>>,
    callbacks: RefCell<Vec<ReplicaCallback>>,
    /// The replica's revision at the last call of the callbacks.
    notified_revision: Cell<Revision>,
    counter: TrafficCounter,
    tick_task: RefCell<Option<Task<()>>>,
}

impl Subscription {
    /// Starts a subscription to the observers at these addresses. No requests may be routed until
    /// an observer has confirmed the state.
    ///
    /// # Errors
    ///
    /// The configuration is not valid, for instance because the replica would become stale between
    /// two polls.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        config: SubscriberConfig,
        addresses: BTreeMap<NodeId, SocketAddr>,
        seed: u64,
    ) -> Result<Rc<Self>, InvalidSubscriberConfig> {
        config.validate()?;
        let subscription = Rc::new_cyclic(|weak_self| Subscription {
            weak_self: weak_self.clone(),
            executor: Rc::clone(executor),
            addresses,
            core: RefCell::new(Subscriber::new(config, seed, boot_time())),
            tick_timer: Rc::default(),
            connections: RefCell::default(),
            next_connection: Cell::new(1),
            last_ends: RefCell::default(),
            callbacks: RefCell::default(),
            notified_revision: Cell::new(0),
            counter: TrafficCounter::default(),
            tick_task: RefCell::default(),
        });
        let timer = Rc::clone(&subscription.tick_timer);
        let ticking = tick_when_due(Rc::downgrade(&subscription), timer);
        *subscription.tick_task.borrow_mut() = Some(executor.spawn(ticking));
        Ok(subscription)
    }

    /// Adds a callback. It is called at once, and then whenever further changes were applied,
    /// before another task can use the new state.
    pub fn on_applied(&self, callback: ReplicaCallback) {
        callback(self.core.borrow().replica());
        self.callbacks.borrow_mut().push(callback);
    }

    /// Checks whether the replica is fresh enough to route requests on it.
    ///
    /// # Errors
    ///
    /// The replica is too old, or was never confirmed.
    pub fn may_route(&self) -> Result<(), Stale> {
        self.core.borrow().may_route(boot_time())
    }

    /// Returns how long from now requests may be routed without another confirmation. Zero means
    /// that they may not be routed.
    #[must_use]
    pub fn time_until_stale(&self) -> Duration {
        Duration::from_micros(self.core.borrow().time_until_stale(boot_time()))
    }

    /// Calls `read` with the replica and returns its result.
    pub fn replica<T>(&self, read: impl FnOnce(&SubscriberReplica) -> T) -> T {
        read(self.core.borrow().replica())
    }

    /// Returns the current state of the subscription.
    #[must_use]
    pub fn status(&self) -> SubscriptionStatus {
        let core = self.core.borrow();
        let HeldObservers { watched, standby } = core.held_observers();
        SubscriptionStatus {
            revision: core.replica().revision(),
            watched,
            standby,
            freshness: core.may_route(boot_time()),
            rejection: core.rejection().cloned(),
        }
    }

    /// Returns the numbers of messages and bytes exchanged with observers. Hellos that were sent
    /// count.
    #[must_use]
    pub fn traffic(&self) -> TrafficStats {
        self.counter.stats()
    }

    /// Calls the core and carries out the actions that it requests.
    fn drive(&self, call: impl FnOnce(&mut Subscriber, Micros)) {
        call(&mut self.core.borrow_mut(), boot_time());
        self.notify_applied();
        loop {
            let actions = self.core.borrow_mut().take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    SubscriberAction::Connect { observer, hello } => self.connect(observer, hello),
                    SubscriberAction::Disconnect(observer) => {
                        self.connections.borrow_mut().remove(&observer);
                    }
                    SubscriberAction::Send { observer, message } => self.send(observer, &message),
                }
            }
        }
        self.tick_timer.set(self.core.borrow().next_tick());
    }

    /// Calls the callbacks if further changes were applied since their last call.
    fn notify_applied(&self) {
        let core = self.core.borrow();
        let replica = core.replica();
        if self.notified_revision.replace(replica.revision()) == replica.revision() {
            return;
        }
        let callbacks = self.callbacks.borrow().clone();
        callbacks.iter().for_each(|callback| callback(replica));
    }

    fn connect(&self, observer: NodeId, hello: SubscriberHello) {
        let Some(address) = self.addresses.get(&observer).copied() else {
            let now = boot_time();
            return self.core.borrow_mut().disconnected(now, observer, None);
        };
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        let queue = SendQueue::new(MAX_QUEUED_BYTES, STALL_TIMEOUT);
        let context = ConnectionContext {
            subscription: self.weak_self.clone(),
            observer,
            number,
            address,
        };
        let running = observer_connection::run(context, hello, Rc::clone(&queue));
        let connection = ObserverConnection {
            number,
            queue,
            task: self.executor.spawn(running),
        };
        self.connections.borrow_mut().insert(observer, connection);
    }

    fn send(&self, observer: NodeId, message: &SubscriberMessage) {
        let connections = self.connections.borrow();
        let Some(queue) = connections.get(&observer).map(|it| &it.queue) else {
            return;
        };
        match wire::encode_frame(message) {
            Ok(frame) => {
                self.counter.count_sent(frame.len());
                if !queue.push(Rc::new(frame)) {
                    queue.abort(CloseReason::QueueFull);
                }
            }
            Err(reason) => queue.abort(reason),
        }
    }

    /// Whether the core still uses this connection to an observer.
    fn is_current(&self, observer: NodeId, number: ConnectionNumber) -> bool {
        let connections = self.connections.borrow();
        let current = connections.get(&observer);
        current.is_some_and(|current| current.number == number)
    }

    /// Records why a connection to an observer ended. Returns whether this reason differs from that
    /// of the previous connection.
    fn record_end(&self, observer: NodeId, reason: CloseReason) -> bool {
        self.last_ends.borrow_mut().insert(observer, reason) != Some(reason)
    }

    /// Removes a connection that has ended or could not be made. The connection's own task calls
    /// this, so the task is detached rather than dropped, which would cancel it.
    fn connection_ended(
        &self,
        observer: NodeId,
        number: ConnectionNumber,
        rejection: Option<&Rejection>,
    ) {
        if !self.is_current(observer, number) {
            return;
        }
        if let Some(connection) = self.connections.borrow_mut().remove(&observer) {
            connection.task.detach();
        }
        self.drive(|core, now| core.disconnected(now, observer, rejection));
    }
}

/// Calls the core's tick whenever it is due.
async fn tick_when_due(weak: Weak<Subscription>, timer: Rc<TickTimer>) {
    while let Some(subscription) = weak.upgrade() {
        subscription.drive(|core, now| core.tick(now));
        drop(subscription);
        timer.wait().await;
    }
}

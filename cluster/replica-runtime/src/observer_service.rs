//! Serves a replica's copy of the state to subscribers: accepts their connections and carries out
//! the actions of the [`Observer`] core.
//!
//! - [`listener`]: accepts connections and handles their hellos.
//! - [`subscriber_connection`]: runs one connection, from its hello to its end.

mod listener;
mod subscriber_connection;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::Task;
use violetgate_replicated_state::{Micros, Store};
use violetgate_state_distribution::{
    ConnectionId, InvalidObserverConfig, Observer, ObserverAction, ObserverConfig, ObserverMessage,
    ProgressSummary, ReadId, ReadResult, Rejection, MAX_MESSAGE_BYTES,
};

use crate::clock::{boot_time, TickTimer};
use crate::close_reason::CloseReason;
use crate::runtime::ReplicaRuntime;
use crate::send_queue::{SendQueue, SharedFrame};
use crate::traffic_stats::{TrafficCounter, TrafficStats};
use crate::wire;

/// The interval at which this observer sends its subscribers' progress to all replicas.
const PROGRESS_INTERVAL_US: Micros = 250_000;
/// The maximum duration of one linearizable read. The core abandons a read after the same time
/// (`READ_TIMEOUT_US` in its `observer/polls.rs`), so a longer timeout would have no effect.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// The reason why an observer can't serve subscribers.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// The service can't listen at its address.
    #[error(
        "subscribers can't connect at {address}: {source}; \
         choose an address of this machine that is free"
    )]
    Listen {
        /// The address for subscribers.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A limit in the configuration is 0, so that the service could not work.
    #[error(transparent)]
    Config(#[from] InvalidObserverConfig),
}

/// A subscriber whose hello was accepted.
struct AcceptedSubscriber {
    queue: Rc<SendQueue>,
    task: Task<()>,
}

/// The last message sent and its frame. A message that is sent to several connections in
/// succession is encoded once.
struct EncodedMessage {
    message: ObserverMessage,
    frame: SharedFrame,
}

/// Serves a replica's copy of the state to subscribers. Dropping the last reference stops it.
pub struct ObserverService {
    weak_self: Weak<ObserverService>,
    replica: Rc<ReplicaRuntime>,
    address: SocketAddr,
    core: RefCell<Observer>,
    max_queued_bytes: usize,
    tick_timer: Rc<TickTimer>,
    next_progress_at: Cell<Micros>,
    next_connection: Cell<ConnectionId>,
    /// Connections whose hello was not accepted yet.
    unaccepted: RefCell<BTreeMap<ConnectionId, Task<()>>>,
    accepted: RefCell<BTreeMap<ConnectionId, AcceptedSubscriber>>,
    counter: TrafficCounter,
    tasks: RefCell<Vec<Task<()>>>,
}

impl ObserverService {
    /// Starts serving a replica's copy of the state at an address, on the replica's executor.
    ///
    /// # Errors
    ///
    /// The address can't be used, or the configuration is not valid.
    pub fn start(
        replica: &Rc<ReplicaRuntime>,
        listen: SocketAddr,
        config: ObserverConfig,
    ) -> Result<Rc<Self>, ServiceError> {
        config.validate()?;
        let listener = listener::bind(listen).map_err(|source| ServiceError::Listen {
            address: listen,
            source,
        })?;
        let now = boot_time();
        let service = Rc::new_cyclic(|weak_self| ObserverService {
            weak_self: weak_self.clone(),
            replica: Rc::clone(replica),
            address: listener.address,
            max_queued_bytes: config.send_queue_bytes.saturating_add(MAX_MESSAGE_BYTES),
            core: RefCell::new(Observer::new(config, now)),
            tick_timer: Rc::default(),
            next_progress_at: Cell::new(now),
            next_connection: Cell::new(1),
            unaccepted: RefCell::default(),
            accepted: RefCell::default(),
            counter: TrafficCounter::default(),
            tasks: RefCell::default(),
        });
        let weak = Rc::downgrade(&service);
        replica.on_applied(Rc::new(move |store| {
            if let Some(service) = weak.upgrade() {
                service.store_applied(store);
            }
        }));
        let weak = || Rc::downgrade(&service);
        let executor = replica.executor();
        let tasks = [
            executor.spawn(listener::accept_all(weak(), listener.socket)),
            executor.spawn(tick_when_due(weak(), Rc::clone(&service.tick_timer))),
        ];
        service.tasks.borrow_mut().extend(tasks);
        Ok(service)
    }

    /// Returns the address where subscribers connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Summarizes which revisions this observer's subscribers have applied.
    #[must_use]
    pub fn progress(&self) -> ProgressSummary {
        self.core.borrow().progress(boot_time())
    }

    /// Returns the number of connected subscribers.
    #[must_use]
    pub fn subscribers(&self) -> usize {
        self.core.borrow().sizes().subscribers
    }

    /// Returns the numbers of messages and bytes exchanged with subscribers.
    #[must_use]
    pub fn traffic(&self) -> TrafficStats {
        self.counter.stats()
    }

    /// Tells the core that further entries were applied to the store. The replica's store is
    /// borrowed during this call, so it is passed in and not read through the replica.
    fn store_applied(&self, store: &Store) {
        let now = boot_time();
        self.core.borrow_mut().store_applied(now, store);
        self.carry_out_actions();
    }

    /// Calls the core and carries out the actions that it requests.
    fn drive<T>(&self, call: impl FnOnce(&mut Observer, Micros, &Store) -> T) -> T {
        let result = self
            .replica
            .store(|store| call(&mut self.core.borrow_mut(), boot_time(), store));
        self.carry_out_actions();
        result
    }

    fn carry_out_actions(&self) {
        loop {
            let actions = self.core.borrow_mut().take_actions();
            if actions.is_empty() {
                break;
            }
            let mut last_encoded = None;
            for action in actions {
                match action {
                    ObserverAction::Send {
                        connection,
                        message,
                    } => self.send(connection, message, &mut last_encoded),
                    ObserverAction::Close {
                        connection,
                        rejection,
                    } => self.reject(connection, rejection),
                    ObserverAction::BeginRead(read) => self.begin_read(read),
                }
            }
        }
        self.schedule_tick();
    }

    fn schedule_tick(&self) {
        let next_tick = self.core.borrow().next_tick();
        self.tick_timer
            .set(next_tick.min(self.next_progress_at.get()));
    }

    fn send(
        &self,
        to: ConnectionId,
        message: ObserverMessage,
        last_encoded: &mut Option<EncodedMessage>,
    ) {
        let same = last_encoded.take_if(|encoded| encoded.message == message);
        let encoded = match same {
            Some(encoded) => encoded,
            None => match wire::encode_frame(&message) {
                Ok(frame) => EncodedMessage {
                    message,
                    frame: Rc::new(frame),
                },
                Err(reason) => return self.drop_connection(to, reason),
            },
        };
        let queue = self.send_queue(to);
        if queue.is_some_and(|queue| queue.push(Rc::clone(&encoded.frame))) {
            self.counter.count_sent(encoded.frame.len());
        } else {
            self.drop_connection(to, CloseReason::TooSlow);
        }
        *last_encoded = Some(encoded);
    }

    fn send_queue(&self, id: ConnectionId) -> Option<Rc<SendQueue>> {
        let accepted = self.accepted.borrow();
        accepted.get(&id).map(|it| Rc::clone(&it.queue))
    }

    /// Sends a subscriber the reason for its rejection and then closes the connection. The core has
    /// already removed the subscriber.
    fn reject(&self, id: ConnectionId, rejection: Rejection) {
        let Some(queue) = self.send_queue(id) else {
            return;
        };
        let code = rejection.code();
        if let Ok(frame) = wire::encode_frame(&ObserverMessage::Rejected(rejection)) {
            // If the queue is full, the connection ends without the reason.
            let _ = queue.push(Rc::new(frame));
        }
        queue.finish(CloseReason::Rejected(code));
    }

    /// Closes a connection without sending what is queued, and removes it from the core.
    fn drop_connection(&self, id: ConnectionId, reason: CloseReason) {
        if let Some(queue) = self.send_queue(id) {
            queue.abort(reason);
            self.core.borrow_mut().disconnected(boot_time(), id);
        }
    }

    /// Starts a linearizable read, which confirms all polls received before it.
    fn begin_read(&self, read: ReadId) {
        let (weak, replica) = (self.weak_self.clone(), Rc::clone(&self.replica));
        let reading = async move {
            let result = if replica.wait_until_current(READ_TIMEOUT).await {
                ReadResult::Current
            } else {
                ReadResult::Failed
            };
            if let Some(service) = weak.upgrade() {
                service.drive(|core, now, store| core.read_completed(now, read, result, store));
            }
        };
        self.replica.executor().spawn(reading).detach();
    }

    fn tick(&self) {
        self.drive(|core, now, store| core.tick(now, store));
        let now = boot_time();
        if now >= self.next_progress_at.get() {
            self.next_progress_at
                .set(now.saturating_add(PROGRESS_INTERVAL_US));
            self.replica.report_progress(self.progress());
            self.schedule_tick();
        }
    }
}

/// Calls the core's tick whenever it is due.
async fn tick_when_due(weak: Weak<ObserverService>, timer: Rc<TickTimer>) {
    while let Some(service) = weak.upgrade() {
        service.tick();
        drop(service);
        timer.wait().await;
    }
}

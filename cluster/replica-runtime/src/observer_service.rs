//! An observer's carrier: it takes subscribers' connections and carries out what the core asks for.

mod subscriber_connection;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::future;
use violetgate_replicated_state::{Micros, Store};
use violetgate_state_distribution::{
    ConnectionId, Observer, ObserverAction, ObserverConfig, ObserverMessage, ObserverWelcome,
    ProgressSummary, ReadId, ReadResult, Rejection, SubscriberHello, MAX_MESSAGE_BYTES,
};

use crate::clock::{boot, Alarm};
use crate::runtime::ReplicaRuntime;
use crate::send_queue::{SendQueue, SharedFrame};
use crate::traffic_stats::{Counter, TrafficStats};
use crate::wire;

/// How often all members are sent how far this observer's subscribers are.
const PROGRESS_EVERY: Micros = 250_000;
/// How long one read of the cluster may take; the core gives it up then, too.
const READ_WITHIN: Duration = Duration::from_millis(400);
/// Connections that have not greeted yet; beyond them the oldest gives way.
const MOST_UNGREETED: usize = 512;
/// How long a subscriber may take nothing; the core turns it away before, so that it can see why.
const PATIENCE: Duration = Duration::from_secs(15);
/// Connections that the machine may hold until they are accepted. The standard library's 128 are gone at once where
/// thousands of front ends come back together; what is dropped then comes again only after a second.
const BACKLOG: i32 = 4_096;
/// The pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Why an observer can't serve subscribers.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// Its address can't be used.
    #[error(
        "subscribers can't connect at {address}: {source}; choose an address of this machine that is free"
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What is wrong with it.
        source: std::io::Error,
    },
}

/// A subscriber that has greeted.
struct Greeted {
    send_queue: Rc<SendQueue>,
    task: Task<()>,
}

/// A member's service to subscribers. It ends with the last reference to it.
pub struct ObserverService {
    me: Weak<ObserverService>,
    cluster: Rc<ReplicaRuntime>,
    address: SocketAddr,
    core: RefCell<Observer>,
    queue_limit: usize,
    alarm: Rc<Alarm>,
    progress_at: Cell<Micros>,
    next_connection: Cell<ConnectionId>,
    ungreeted: RefCell<BTreeMap<ConnectionId, Task<()>>>,
    greeted: RefCell<BTreeMap<ConnectionId, Greeted>>,
    counter: Counter,
    tasks: RefCell<Vec<Task<()>>>,
}

impl ObserverService {
    /// Begins to serve a member's copy at an address, on the member's executor.
    ///
    /// # Errors
    ///
    /// The address can't be used.
    pub fn start(
        cluster: &Rc<ReplicaRuntime>,
        listen: SocketAddr,
        config: ObserverConfig,
    ) -> Result<Rc<Self>, ServiceError> {
        let failed = |source| ServiceError::Listen {
            address: listen,
            source,
        };
        let listener = Async::<TcpListener>::bind(listen).map_err(failed)?;
        // Listening once more only makes the machine's queue longer.
        rustix::net::listen(listener.get_ref(), BACKLOG).map_err(|error| failed(error.into()))?;
        let address = listener.get_ref().local_addr().map_err(failed)?;
        let now = boot();
        let service = Rc::new_cyclic(|me| ObserverService {
            me: me.clone(),
            cluster: Rc::clone(cluster),
            address,
            queue_limit: config.send_queue_bytes.saturating_add(MAX_MESSAGE_BYTES),
            core: RefCell::new(Observer::new(config, now)),
            alarm: Rc::default(),
            progress_at: Cell::new(now),
            next_connection: Cell::new(1),
            ungreeted: RefCell::default(),
            greeted: RefCell::default(),
            counter: Counter::default(),
            tasks: RefCell::default(),
        });
        let me = Rc::downgrade(&service);
        cluster.on_applied(Rc::new(move |store| {
            me.upgrade()
                .into_iter()
                .for_each(|service| service.applied(store));
        }));
        let tasks = [
            cluster
                .executor()
                .spawn(listen_for_subscribers(Rc::downgrade(&service), listener)),
            cluster.executor().spawn(keep_time(
                Rc::downgrade(&service),
                Rc::clone(&service.alarm),
            )),
        ];
        service.tasks.borrow_mut().extend(tasks);
        Ok(service)
    }

    /// Where subscribers connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How far this observer's subscribers are.
    #[must_use]
    pub fn progress(&self) -> ProgressSummary {
        self.core.borrow().progress(boot())
    }

    /// Subscribers connected now.
    #[must_use]
    pub fn subscribers(&self) -> usize {
        self.core.borrow().sizes().subscribers
    }

    /// Messages and bytes exchanged with subscribers.
    #[must_use]
    pub fn traffic(&self) -> TrafficStats {
        self.counter.traffic()
    }

    fn applied(&self, store: &Store) {
        self.core.borrow_mut().store_applied(boot(), store);
        self.carry_out();
    }

    /// Does something with the core, and carries out what follows.
    fn with<T>(&self, act: impl FnOnce(&mut Observer, Micros, &Store) -> T) -> T {
        let done = self
            .cluster
            .store(|store| act(&mut self.core.borrow_mut(), boot(), store));
        self.carry_out();
        done
    }

    fn carry_out(&self) {
        loop {
            let actions = self.core.borrow_mut().take_actions();
            if actions.is_empty() {
                break;
            }
            // What goes to many connections one after another is encoded once.
            let mut last: Option<(ObserverMessage, SharedFrame)> = None;
            for action in actions {
                match action {
                    ObserverAction::Send {
                        connection,
                        message,
                    } => self.send(connection, message, &mut last),
                    ObserverAction::Close {
                        connection,
                        rejection,
                    } => self.refuse(connection, rejection),
                    ObserverAction::BeginRead(read) => self.read(read),
                }
            }
        }
        self.alarm
            .set(self.core.borrow().next_tick().min(self.progress_at.get()));
    }

    fn send(
        &self,
        to: ConnectionId,
        message: ObserverMessage,
        last: &mut Option<(ObserverMessage, SharedFrame)>,
    ) {
        let same = last.as_ref().filter(|(encoded, _)| *encoded == message);
        let frame = match same {
            Some((_, frame)) => Rc::clone(frame),
            None => match wire::frame(&message) {
                Some(frame) => Rc::new(frame),
                None => return self.drop_connection(to, "frame_too_long"),
            },
        };
        let send_queue = self.send_queue(to);
        let sent = send_queue.is_some_and(|send_queue| send_queue.push(Rc::clone(&frame)));
        if sent {
            self.counter.sent(frame.len());
        } else {
            self.drop_connection(to, "too_slow");
        }
        *last = Some((message, frame));
    }

    fn send_queue(&self, of: ConnectionId) -> Option<Rc<SendQueue>> {
        self.greeted
            .borrow()
            .get(&of)
            .map(|greeted| Rc::clone(&greeted.send_queue))
    }

    /// Tells a subscriber why it is turned away, and closes its connection once that has left. The core has forgotten
    /// it.
    fn refuse(&self, connection: ConnectionId, rejection: Rejection) {
        let Some(send_queue) = self.send_queue(connection) else {
            return;
        };
        let code = rejection.code();
        if let Some(frame) = wire::frame(&ObserverMessage::Rejected(rejection)) {
            send_queue.push(Rc::new(frame));
        }
        send_queue.finish(code);
    }

    /// Ends a connection at once.
    fn drop_connection(&self, connection: ConnectionId, reason: &'static str) {
        if let Some(send_queue) = self.send_queue(connection) {
            send_queue.abort(reason);
            self.core.borrow_mut().disconnected(boot(), connection);
        }
    }

    /// Asks the cluster whether the copy is current, for all polls that came so far.
    fn read(&self, read: ReadId) {
        let (me, cluster) = (self.me.clone(), Rc::clone(&self.cluster));
        let asked = async move {
            let current = cluster.wait_until_current(READ_WITHIN).await;
            let result = if current {
                ReadResult::Current
            } else {
                ReadResult::Failed
            };
            if let Some(service) = me.upgrade() {
                service.with(|core, now, store| core.read_completed(now, read, result, store));
            }
        };
        self.cluster.executor().spawn(asked).detach();
    }

    fn tick(&self) {
        self.with(|core, now, store| core.tick(now, store));
        let now = boot();
        if now >= self.progress_at.get() {
            self.progress_at.set(now.saturating_add(PROGRESS_EVERY));
            self.cluster.report_progress(self.progress());
            self.alarm
                .set(self.core.borrow().next_tick().min(self.progress_at.get()));
        }
    }

    fn accept(&self, stream: Async<TcpStream>, peer: SocketAddr) {
        let mut ungreeted = self.ungreeted.borrow_mut();
        if ungreeted.len() >= MOST_UNGREETED {
            ungreeted.pop_first();
            tracing::info!("a subscriber's connection ended reason=greeting_gave_way");
        }
        let id = self.next_connection.get();
        self.next_connection.set(id + 1);
        let task = self.cluster.executor().spawn(subscriber_connection::serve(
            self.me.clone(),
            id,
            stream,
            peer,
        ));
        ungreeted.insert(id, task);
    }

    /// A subscriber has greeted: the answer, and its queue if it is taken.
    fn greet(
        &self,
        id: ConnectionId,
        hello: &SubscriberHello,
    ) -> (ObserverWelcome, Option<Rc<SendQueue>>) {
        let welcome = self.with(|core, now, store| core.accept(now, id, hello, store));
        if welcome.rejected.is_some() {
            return (welcome, None);
        }
        let Some(task) = self.ungreeted.borrow_mut().remove(&id) else {
            self.with(|core, now, _| core.disconnected(now, id));
            return (welcome, None);
        };
        let send_queue = SendQueue::new(self.queue_limit, PATIENCE);
        self.greeted.borrow_mut().insert(
            id,
            Greeted {
                send_queue: Rc::clone(&send_queue),
                task,
            },
        );
        (welcome, Some(send_queue))
    }

    /// A connection has ended; its task ends with this call.
    fn ended(&self, id: ConnectionId) {
        if let Some(task) = self.ungreeted.borrow_mut().remove(&id) {
            task.detach();
        }
        let greeted = self.greeted.borrow_mut().remove(&id);
        if let Some(Greeted { send_queue, task }) = greeted {
            task.detach();
            // The core has forgotten those that it turned away.
            if !send_queue.is_ending() {
                self.with(|core, now, _| core.disconnected(now, id));
            }
        }
    }
}

async fn listen_for_subscribers(of: Weak<ObserverService>, listener: Async<TcpListener>) {
    loop {
        let accepted = listener.accept().await;
        let Some(service) = of.upgrade() else { return };
        match accepted {
            Ok((stream, peer)) => service.accept(stream, peer),
            Err(e) => {
                drop(service);
                tracing::info!("subscribers' accept failed: {e}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
        future::yield_now().await;
    }
}

/// Tells the core the time whenever it wants to be.
async fn keep_time(of: Weak<ObserverService>, alarm: Rc<Alarm>) {
    while let Some(service) = of.upgrade() {
        service.tick();
        drop(service);
        alarm.due().await;
    }
}

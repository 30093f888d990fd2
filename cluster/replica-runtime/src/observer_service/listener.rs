//! Accepts subscribers' connections and handles their hellos.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use violetgate_state_distribution::{ConnectionId, ObserverWelcome, SubscriberHello};

use super::{subscriber_connection, AcceptedSubscriber, ObserverService};
use crate::send_queue::SendQueue;

/// The maximum number of connections whose hello was not accepted yet. If there are more, the
/// oldest one is closed.
const MAX_UNACCEPTED: usize = 512;
/// The time for which a subscriber may read nothing before its connection is closed without a
/// reason. This is longer than the 10 s after which the core rejects it
/// (`observer/housekeeping.rs` in `violetgate-state-distribution`), so that the subscriber can
/// receive that rejection.
const SUBSCRIBER_STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum number of connections that the kernel queues until they are accepted. The standard
/// library's 128 are too few when thousands of gateways reconnect at once, and the kernel retries a
/// connection dropped from a full queue only after a second.
const BACKLOG: i32 = 4_096;
/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A listening socket and its address.
pub(super) struct Listener {
    pub socket: Async<TcpListener>,
    pub address: SocketAddr,
}

pub(super) fn bind(listen: SocketAddr) -> std::io::Result<Listener> {
    let socket = Async::<TcpListener>::bind(listen)?;
    // The standard library called `listen` with its own backlog. A second call raises it.
    rustix::net::listen(socket.get_ref(), BACKLOG)?;
    let address = socket.get_ref().local_addr()?;
    Ok(Listener { socket, address })
}

/// Accepts connections until the service is dropped.
pub(super) async fn accept_all(weak: Weak<ObserverService>, socket: Async<TcpListener>) {
    loop {
        let accepted = socket.accept().await;
        let Some(service) = weak.upgrade() else {
            return;
        };
        match accepted {
            Ok((stream, peer)) => service.accept(stream, peer),
            Err(error) => {
                drop(service);
                tracing::info!("can't accept a subscriber's connection: {error}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
        future::yield_now().await;
    }
}

/// The answer to a hello, and the send queue of the subscriber if it was accepted.
pub(super) struct HelloAnswer {
    pub welcome: ObserverWelcome,
    pub queue: Option<Rc<SendQueue>>,
}

impl ObserverService {
    fn accept(&self, stream: Async<TcpStream>, peer: SocketAddr) {
        let mut unaccepted = self.unaccepted.borrow_mut();
        if unaccepted.len() >= MAX_UNACCEPTED {
            unaccepted.pop_first();
            tracing::info!("a subscriber's connection ended reason=evicted");
        }
        let id = self.next_connection.get();
        self.next_connection.set(id + 1);
        let serving = subscriber_connection::serve(self.weak_self.clone(), id, stream, peer);
        unaccepted.insert(id, self.replica.executor().spawn(serving));
    }

    /// Passes a subscriber's hello to the core, and creates its send queue if it is accepted.
    pub(super) fn handle_hello(&self, id: ConnectionId, hello: &SubscriberHello) -> HelloAnswer {
        let welcome = self.drive(|core, now, store| core.accept(now, id, hello, store));
        let mut answer = HelloAnswer {
            welcome,
            queue: None,
        };
        if answer.welcome.rejected.is_some() {
            return answer;
        }
        let Some(task) = self.unaccepted.borrow_mut().remove(&id) else {
            self.drive(|core, now, _| core.disconnected(now, id));
            return answer;
        };
        let queue = SendQueue::new(self.max_queued_bytes, SUBSCRIBER_STALL_TIMEOUT);
        answer.queue = Some(Rc::clone(&queue));
        let subscriber = AcceptedSubscriber { queue, task };
        self.accepted.borrow_mut().insert(id, subscriber);
        answer
    }

    /// Removes a connection that has ended. The connection's own task calls this, so the task is
    /// detached rather than dropped, which would cancel it.
    pub(super) fn connection_ended(&self, id: ConnectionId) {
        if let Some(task) = self.unaccepted.borrow_mut().remove(&id) {
            task.detach();
        }
        let accepted = self.accepted.borrow_mut().remove(&id);
        if let Some(AcceptedSubscriber { queue, task }) = accepted {
            task.detach();
            // The core has already removed the subscribers that it rejected.
            if !queue.is_ending() {
                self.drive(|core, now, _| core.disconnected(now, id));
            }
        }
    }
}

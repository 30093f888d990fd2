//! Connections between replicas.
//!
//! Each replica makes one connection to each other replica and only sends messages on it
//! (`outgoing`). It receives messages on the connections that the others make to it (`incoming`). A
//! connection that fails is made again after a backoff. A message for a full queue is dropped,
//! because Raft sends every required message again.

mod addresses;
mod incoming;
mod outgoing;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;
use violetgate_memory_budget::MemoryBudget;
use violetgate_raft::NodeId;

use crate::traffic_stats::{TrafficCounter, TrafficStats};
use crate::wire::{self, Hello, PeerMessage};
use addresses::PeerAddresses;
use outgoing::PeerQueue;

/// The maximum number of incoming connections.
const MAX_INCOMING: usize = 64;
/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The maximum number of replicas without a known address that are remembered, so that each is
/// logged once.
const MAX_UNADDRESSED: usize = 64;

/// A callback that receives each message and the id of the replica that sent it.
pub type MessageHandler = Box<dyn Fn(NodeId, PeerMessage)>;

/// A replica that messages may be sent to.
struct Peer {
    address: SocketAddr,
    queue: Rc<PeerQueue>,
    /// Maintains the connection. Dropping the peer cancels it.
    _task: Task<()>,
}

/// The connections of one replica. Dropping the transport closes them.
pub struct Transport {
    weak_self: Weak<Transport>,
    executor: Rc<LocalExecutor<'static>>,
    cluster: String,
    id: NodeId,
    disk_id: u64,
    /// The address at which other replicas reach this one, for its hellos. `None` if it listens at
    /// all addresses of the machine.
    announced_address: Option<SocketAddr>,
    addresses: RefCell<PeerAddresses>,
    /// The disk id of each replica for which one is committed.
    known_disks: RefCell<BTreeMap<NodeId, u64>>,
    peers: RefCell<BTreeMap<NodeId, Peer>>,
    on_message: MessageHandler,
    incoming: RefCell<BTreeMap<u64, Task<()>>>,
    /// The numbers of incoming connections that have ended and whose tasks can be dropped.
    ended_incoming: Rc<RefCell<Vec<u64>>>,
    next_incoming: Cell<u64>,
    dropped_messages: Cell<u64>,
    /// Replicas that messages were dropped for because their addresses are not known.
    unaddressed: RefCell<BTreeSet<NodeId>>,
    /// The limit of the memory for frames that arrive or are queued.
    memory: MemoryBudget,
    counter: TrafficCounter,
    /// Replicas with which no messages are exchanged, set by tests of network partitions.
    blocked: RefCell<Vec<NodeId>>,
}

impl Transport {
    /// Creates the transport of a replica that listens at `listen`, without any peers. Frames are
    /// charged to `memory`.
    #[must_use]
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        cluster: &str,
        id: NodeId,
        disk_id: u64,
        listen: SocketAddr,
        memory: MemoryBudget,
        on_message: MessageHandler,
    ) -> Rc<Self> {
        Rc::new_cyclic(|weak_self| Transport {
            weak_self: weak_self.clone(),
            executor,
            cluster: cluster.to_owned(),
            id,
            disk_id,
            announced_address: Some(listen).filter(|address| !address.ip().is_unspecified()),
            addresses: RefCell::default(),
            known_disks: RefCell::default(),
            peers: RefCell::default(),
            on_message,
            incoming: RefCell::default(),
            ended_incoming: Rc::default(),
            next_incoming: Cell::new(0),
            dropped_messages: Cell::new(0),
            unaddressed: RefCell::default(),
            memory,
            counter: TrafficCounter::default(),
            blocked: RefCell::default(),
        })
    }

    /// Sets the addresses of the replicas that this replica's own settings name.
    pub fn set_peers(&self, addresses: &BTreeMap<NodeId, SocketAddr>) {
        self.addresses
            .borrow_mut()
            .set_configured(addresses.clone());
        self.connect_peers();
    }

    /// Sets the addresses that replicas have recorded in the replicated state. Those of
    /// [`Transport::set_peers`], and those that replicas name when they connect, override them.
    pub fn set_recorded_addresses(&self, addresses: BTreeMap<NodeId, SocketAddr>) {
        self.addresses.borrow_mut().set_recorded(addresses);
        self.connect_peers();
    }

    /// Connects to all replicas whose addresses are known. Connections to other replicas or other
    /// addresses are closed.
    fn connect_peers(&self) {
        let addresses = self.addresses.borrow().in_use();
        self.unaddressed
            .borrow_mut()
            .retain(|id| !addresses.contains_key(id));
        let mut peers = self.peers.borrow_mut();
        peers.retain(|id, peer| addresses.get(id) == Some(&peer.address));
        for (id, address) in addresses.iter().filter(|(id, _)| **id != self.id) {
            peers
                .entry(*id)
                .or_insert_with(|| self.connect_to(*id, *address));
        }
    }

    /// Uses the address that a replica has named on an incoming connection, while that is open.
    fn announce(&self, connection: u64, from: NodeId, address: SocketAddr) {
        self.addresses
            .borrow_mut()
            .announce(connection, from, address);
        self.connect_peers();
    }

    fn withdraw_announcement(&self, connection: u64) {
        let withdrawn = self.addresses.borrow_mut().withdraw(connection);
        if withdrawn {
            self.connect_peers();
        }
    }

    fn connect_to(&self, id: NodeId, address: SocketAddr) -> Peer {
        let queue = Rc::new(PeerQueue::new(&self.memory));
        let transport = self.weak_self.clone();
        let connection = outgoing::keep_connected(transport, id, address, Rc::clone(&queue));
        Peer {
            address,
            queue,
            _task: self.executor.spawn(connection),
        }
    }

    /// Sets the committed disk ids of the replicas. A replica that connects with another disk is
    /// rejected, as it may have lost its term and vote.
    pub fn set_known_disks(&self, disks: BTreeMap<NodeId, u64>) {
        *self.known_disks.borrow_mut() = disks;
    }

    fn known_disk(&self, id: NodeId) -> Option<u64> {
        self.known_disks.borrow().get(&id).copied()
    }

    /// Whether a replica's disk differs from the committed one. If none is committed yet, any disk
    /// is accepted.
    fn is_other_disk(&self, id: NodeId, disk_id: u64) -> bool {
        self.known_disk(id).is_some_and(|known| known != disk_id)
    }

    /// Returns the number of messages dropped so far because they were too long, their queue was
    /// full, or the receiver's address is not known.
    #[must_use]
    pub fn dropped_messages(&self) -> u64 {
        self.dropped_messages.get()
    }

    /// Returns the numbers of messages and bytes exchanged with other replicas, without hellos.
    #[must_use]
    pub fn traffic(&self) -> TrafficStats {
        self.counter.stats()
    }

    /// Stops exchanging messages with these replicas, and only these, until the next call. This is
    /// for tests of network partitions.
    pub fn block_peers(&self, ids: &[NodeId]) {
        *self.blocked.borrow_mut() = ids.to_vec();
    }

    fn is_blocked(&self, id: NodeId) -> bool {
        self.blocked.borrow().contains(&id)
    }

    /// Queues a message. If it is too long, the queue is full or the receiver's address is not
    /// known, it is dropped and counted.
    pub fn send(&self, to: NodeId, message: &PeerMessage) {
        if self.is_blocked(to) {
            return;
        }
        let peers = self.peers.borrow();
        let Some(peer) = peers.get(&to) else {
            return self.drop_unaddressed(to);
        };
        match wire::encode_frame(message) {
            Ok(frame) => {
                let frame_bytes = frame.len();
                if peer.queue.push(frame) {
                    self.counter.count_sent(frame_bytes);
                } else {
                    self.count_dropped();
                }
            }
            // The message exceeds the maximum frame length.
            Err(_) => self.count_dropped(),
        }
    }

    fn count_dropped(&self) {
        self.dropped_messages.set(self.dropped_messages.get() + 1);
    }

    /// Drops a message to a replica without a known address. Only the first one is logged.
    fn drop_unaddressed(&self, to: NodeId) {
        self.count_dropped();
        let mut unaddressed = self.unaddressed.borrow_mut();
        if unaddressed.len() < MAX_UNADDRESSED && unaddressed.insert(to) {
            tracing::info!(
                "member {to} has no known address, so it gets no messages: \
                 name it under `members` in the settings of member {}",
                self.id
            );
        }
    }

    fn hello(&self, to: NodeId) -> Hello {
        Hello {
            listen: self.announced_address,
            ..Hello::new(&self.cluster, self.id, to, self.disk_id)
        }
    }

    /// Accepts connections until the task is dropped.
    pub async fn listen(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => self.accept(stream, peer),
                Err(error) => {
                    tracing::info!("can't accept a replica's connection: {error}");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
            future::yield_now().await;
        }
    }

    fn accept(&self, stream: Async<TcpStream>, peer: SocketAddr) {
        let mut incoming = self.incoming.borrow_mut();
        for number in self.ended_incoming.borrow_mut().drain(..) {
            incoming.remove(&number);
        }
        if incoming.len() >= MAX_INCOMING {
            return tracing::info!("member {peer} ended reason=connection_limit");
        }
        let number = self.next_incoming.get();
        self.next_incoming.set(number + 1);
        let transport = self.weak_self.clone();
        let ended = Rc::clone(&self.ended_incoming);
        let task = self.executor.spawn(async move {
            let end = incoming::serve(&transport, &stream, number).await;
            ended.borrow_mut().push(number);
            if let Some(transport) = transport.upgrade() {
                transport.withdraw_announcement(number);
            }
            tracing::info!("member {peer} ended reason={end}");
        });
        incoming.insert(number, task);
    }
}

/// The reason for which a connection between replicas ended. Its `Display` text is the reason in
/// logs.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
enum PeerConnectionEnd {
    #[error(transparent)]
    Closed(#[from] crate::close_reason::CloseReason),
    /// The accepting replica rejected the hello, for this reason.
    #[error("refused: {0}")]
    Rejected(String),
    /// The other side's disk is not the one that is committed.
    #[error("refused: member {0} had another disk")]
    OtherDisk(NodeId),
}

#[cfg(test)]
mod tests;

//! Connections between members: one each way, made by the one that sends; framed, bounded, made again when they break.
//! A message that finds its queue full is dropped: the core asks again for what matters.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::poll_fn;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use violetgate_raft::NodeId;

use crate::connection::{frame, late, sized_frame, write, Input, CONNECT, GREET};
use crate::traffic_stats::{Counter, TrafficStats};
use crate::wire::{self, Frame, Hello, Welcome};

/// Bytes that wait for one member.
const QUEUE: usize = 32 << 20;
/// The pause before another try, doubled up to the last at each one that fails.
const PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// The most connections that others may have here.
const MOST: usize = 64;

/// Where messages that come are told.
pub type Incoming = Box<dyn Fn(NodeId, Frame)>;

#[derive(Default)]
struct Queue {
    frames: RefCell<VecDeque<Vec<u8>>>,
    bytes: Cell<usize>,
    waker: RefCell<Option<Waker>>,
}

struct Peer {
    addr: SocketAddr,
    queue: Rc<Queue>,
    _task: Task<()>,
}

/// The connections of one member.
pub struct Transport {
    me: Weak<Transport>,
    executor: Rc<LocalExecutor<'static>>,
    cluster: String,
    id: NodeId,
    born: u64,
    /// By what numbers the disks of members go, as far as it is agreed on.
    disks: RefCell<BTreeMap<NodeId, u64>>,
    peers: RefCell<BTreeMap<NodeId, Peer>>,
    incoming: Incoming,
    /// Connections of others, by number, and the numbers of those that have ended. They end with this transport.
    heard: RefCell<BTreeMap<u64, Task<()>>>,
    ended: Rc<RefCell<Vec<u64>>>,
    next: Cell<u64>,
    dropped: Cell<u64>,
    counter: Counter,
    /// Membership that this one does not hear and does not reach, for tests of cuts.
    cut: RefCell<Vec<NodeId>>,
}

impl Transport {
    /// The transport of a member, which knows no others yet.
    #[must_use]
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        cluster: &str,
        id: NodeId,
        born: u64,
        incoming: Incoming,
    ) -> Rc<Self> {
        Rc::new_cyclic(|me| Transport {
            me: me.clone(),
            executor,
            cluster: cluster.to_owned(),
            id,
            born,
            disks: RefCell::default(),
            peers: RefCell::default(),
            incoming,
            heard: RefCell::default(),
            ended: Rc::default(),
            next: Cell::new(0),
            dropped: Cell::new(0),
            counter: Counter::default(),
            cut: RefCell::default(),
        })
    }

    /// Names the members that may be sent to, and where they are. Connections to others end.
    pub fn set_peers(&self, known: &BTreeMap<NodeId, SocketAddr>) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|id, peer| known.get(id) == Some(&peer.addr));
        for (id, addr) in known.iter().filter(|(id, _)| **id != self.id) {
            let Some(me) = self.me.upgrade() else { return };
            let (id, addr) = (*id, *addr);
            peers.entry(id).or_insert_with(|| {
                let queue = Rc::new(Queue::default());
                let task = me
                    .executor
                    .spawn(keep(self.me.clone(), id, addr, Rc::clone(&queue)));
                Peer {
                    addr,
                    queue,
                    _task: task,
                }
            });
        }
    }

    /// Names the disks of members: one that comes with another disk is turned away, as it may have forgotten what
    /// it promised.
    pub fn set_known_disks(&self, known: BTreeMap<NodeId, u64>) {
        *self.disks.borrow_mut() = known;
    }

    /// Messages dropped so far, as their queue was full.
    #[must_use]
    pub fn dropped_messages(&self) -> u64 {
        self.dropped.get()
    }

    /// Messages and bytes exchanged with members, greetings aside.
    #[must_use]
    pub fn traffic(&self) -> TrafficStats {
        self.counter.traffic()
    }

    /// Hears and reaches these no more, until told otherwise: a cut, for tests and drills.
    pub fn block_peers(&self, ids: &[NodeId]) {
        *self.cut.borrow_mut() = ids.to_vec();
    }

    /// Sends a message, if there is room for it.
    pub fn send(&self, to: NodeId, message: &Frame) {
        if self.cut.borrow().contains(&to) {
            return;
        }
        let peers = self.peers.borrow();
        let Some(peer) = peers.get(&to) else { return };
        let mut frame = Vec::new();
        let queue = &peer.queue;
        if !wire::put(&mut frame, message) || queue.bytes.get() + frame.len() > QUEUE {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        queue.bytes.set(queue.bytes.get() + frame.len());
        self.counter.sent(frame.len());
        queue.frames.borrow_mut().push_back(frame);
        queue
            .waker
            .borrow_mut()
            .take()
            .into_iter()
            .for_each(Waker::wake);
    }

    /// Takes connections for ever.
    pub async fn listen(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => self.welcome(stream, peer),
                Err(e) => {
                    tracing::info!("member accept failed: {e}");
                    Timer::after(PAUSE).await;
                }
            }
            future::yield_now().await;
        }
    }

    fn welcome(&self, stream: Async<TcpStream>, peer: SocketAddr) {
        let mut heard = self.heard.borrow_mut();
        self.ended
            .borrow_mut()
            .drain(..)
            .for_each(|n| drop(heard.remove(&n)));
        if heard.len() >= MOST {
            return tracing::info!("member {peer} ended reason=too_many");
        }
        let n = self.next.get();
        self.next.set(n + 1);
        let (me, ended) = (self.me.clone(), Rc::clone(&self.ended));
        let task = self.executor.spawn(async move {
            let reason = hear(&me, &stream).await;
            ended.borrow_mut().push(n);
            tracing::info!("member {peer} ended reason={reason}");
        });
        heard.insert(n, task);
    }
}

/// Hears one member out; the reason why it ended.
async fn hear(of: &Weak<Transport>, stream: &Async<TcpStream>) -> String {
    let _ = stream.get_ref().set_nodelay(true);
    let mut input = Input::default();
    let greeting = frame::<Hello>(stream, &mut input, wire::GREETING);
    let hello = match greeting.or(late("greeting_timeout", GREET)).await {
        Ok(hello) => hello,
        Err(reason) => return reason.to_owned(),
    };
    let Some((refused, born)) = of.upgrade().map(|t| {
        let known = t.disks.borrow().get(&hello.from).copied();
        (hello.refused(&t.cluster, t.id, known), t.born)
    }) else {
        return "stopped".to_owned();
    };
    let mut answer = Vec::new();
    wire::put(
        &mut answer,
        &Welcome {
            rejected: refused.clone(),
            born,
        },
    );
    if let Err(reason) = write(stream, &answer).await {
        return reason.to_owned();
    }
    if let Some(why) = refused {
        return format!("refused: {why}");
    }
    loop {
        let (message, size) = match sized_frame::<Frame>(stream, &mut input, wire::LONGEST).await {
            Ok(read) => read,
            Err(reason) => return reason.to_owned(),
        };
        let Some(transport) = of.upgrade() else {
            return "stopped".to_owned();
        };
        // It may have become known that this member's disk is another one.
        if transport
            .disks
            .borrow()
            .get(&hello.from)
            .is_some_and(|born| *born != hello.born)
        {
            return format!("refused: member {} had another disk", hello.from);
        }
        transport.counter.received(size);
        if !transport.cut.borrow().contains(&hello.from) {
            (transport.incoming)(hello.from, message);
        }
    }
}

/// Keeps a connection to a member for ever, and writes what waits for it.
async fn keep(of: Weak<Transport>, id: NodeId, addr: SocketAddr, queue: Rc<Queue>) {
    let (mut pause, mut told) = (PAUSE, String::new());
    loop {
        let hello = match of.upgrade() {
            Some(transport) => Hello::new(&transport.cluster, transport.id, id, transport.born),
            None => return,
        };
        let mut greeted = false;
        let reason = talk(&of, &hello, addr, &queue, &mut greeted).await;
        if greeted || reason != told {
            tracing::info!("member {id} at {addr} ended reason={reason}");
        }
        told = reason;
        pause = if greeted {
            PAUSE
        } else {
            (pause * 2).min(LONGEST_PAUSE)
        };
        // What waited for a connection that is not there is old by the time there is one.
        queue.frames.borrow_mut().clear();
        queue.bytes.set(0);
        Timer::after(pause).await;
    }
}

async fn talk(
    of: &Weak<Transport>,
    hello: &Hello,
    addr: SocketAddr,
    queue: &Queue,
    greeted: &mut bool,
) -> String {
    let connect = async {
        Async::<TcpStream>::connect(addr)
            .await
            .map_err(|_| "connect_error")
    };
    let stream = match connect.or(late("connect_timeout", CONNECT)).await {
        Ok(stream) => stream,
        Err(reason) => return reason.to_owned(),
    };
    let _ = stream.get_ref().set_nodelay(true);
    let mut greeting = Vec::new();
    wire::put(&mut greeting, hello);
    if let Err(reason) = write(&stream, &greeting).await {
        return reason.to_owned();
    }
    let mut input = Input::default();
    let welcome = frame::<Welcome>(&stream, &mut input, wire::GREETING)
        .or(late("greeting_timeout", GREET))
        .await;
    match welcome {
        Ok(Welcome {
            rejected: None,
            born,
        }) => {
            let known = of
                .upgrade()
                .and_then(|t| t.disks.borrow().get(&hello.to).copied());
            if known.is_some_and(|known| known != born) {
                return format!("refused: member {} had another disk", hello.to);
            }
            *greeted = true;
        }
        Ok(Welcome {
            rejected: Some(why),
            ..
        }) => return format!("refused: {why}"),
        Err(reason) => return reason.to_owned(),
    }
    loop {
        let next = poll_fn(|cx| {
            let frame = queue.frames.borrow_mut().pop_front();
            if let Some(frame) = frame {
                queue.bytes.set(queue.bytes.get() - frame.len());
                return Poll::Ready(Ok(frame));
            }
            *queue.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        });
        // The other side says nothing more: what can be read is its end.
        let ended = async {
            let mut byte = [0];
            let _ = stream.read_with(|mut s| s.read(&mut byte)).await;
            Err("closed")
        };
        let written = match next.or(ended).await {
            Ok(frame) => write(&stream, &frame).await,
            Err(reason) => Err(reason),
        };
        if let Err(reason) = written {
            return reason.to_owned();
        }
    }
}

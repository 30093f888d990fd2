//! The fleet's membership on a socket: datagrams to and from the others, and a turn every 50 ms. It decides nothing: who
//! is alive is [`violetgate_membership`]'s. It must never wait for a socket: what it does not take at once is lost, as any
//! datagram may be.

pub mod frame;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use violetgate_membership::{
    Action, Member, Membership, MembershipConfig, Micros, Name, Shares, SharesConfig, State,
};

/// Time between two turns.
const TURN: Duration = Duration::from_millis(50);
/// How often an address that another process holds is asked for again.
const AGAIN: Duration = Duration::from_millis(200);
/// Datagrams read in one turn of the loop before others come to theirs.
const BURST: usize = 64;
/// One that is turned away is told of in the log once in this time, by address ...
const TOLD_EVERY: Micros = 60_000_000;
/// ... of which so many are remembered.
const MOST_TOLD: usize = 256;

/// What is told to the program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum News {
    /// So many share the engines from now on, this one too.
    Share(u32),
    /// A member is seen like this from now on.
    Member(Name, State),
    /// The link to a member is cut, or no longer.
    Link(Name, bool),
    /// Another process of this name has started; this one has left the fleet.
    Superseded,
    /// Something was turned away: from where, why.
    TurnedAway(IpAddr, String),
    /// A member can't be kept in mind: too many are known.
    Full(Name),
    /// Another process holds the address: this one takes part once that has ended, as at an upgrade.
    Waits(SocketAddr),
}

/// What a link is told at its start.
#[derive(Debug, Clone)]
pub struct Options {
    /// The fleet's name.
    pub fleet: String,
    /// This front end's name, the same over all its lives.
    pub member: Name,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// How the membership behaves.
    pub config: MembershipConfig,
    /// How the count follows the view.
    pub shares: SharesConfig,
    /// When this life began, in Unix microseconds.
    pub life: u64,
    /// For random numbers.
    pub seed: u64,
}

/// A member of the fleet at work.
pub struct Link {
    fleet: String,
    /// None yet: another process holds the address.
    socket: RefCell<Option<Rc<Async<UdpSocket>>>>,
    clock: Box<dyn Fn() -> Micros>,
    tell: Box<dyn Fn(News)>,
    membership: RefCell<Membership>,
    shares: RefCell<Shares>,
    told: RefCell<BTreeMap<IpAddr, Micros>>,
    /// Datagrams turned away, and those that the socket did not take.
    turned_away: Cell<u64>,
    unsent: Cell<u64>,
    /// Bytes of datagrams sent and received.
    sent_bytes: Cell<u64>,
    received_bytes: Cell<u64>,
}

impl Link {
    /// Listens, and begins to take part, once whoever holds the address lets it go. `clock` never goes back; `tell`
    /// hears of what changes.
    ///
    /// # Errors
    ///
    /// The machine does not give the address.
    pub fn start(
        executor: &LocalExecutor<'static>,
        options: Options,
        clock: Box<dyn Fn() -> Micros>,
        tell: Box<dyn Fn(News)>,
    ) -> std::io::Result<Rc<Self>> {
        let listen = options.listen;
        let bound = match Async::<UdpSocket>::bind(listen) {
            Err(e) if e.kind() == ErrorKind::AddrInUse => None,
            bound => Some(Rc::new(bound?)),
        };
        let waits = bound.is_none();
        let (o, now) = (options, clock());
        let membership = Membership::new(o.config, o.member, o.address, o.life, &o.seeds, o.seed);
        let link = Rc::new(Link {
            fleet: o.fleet,
            socket: RefCell::new(bound),
            clock,
            tell,
            membership: RefCell::new(membership),
            shares: RefCell::new(Shares::new(o.shares, now)),
            told: RefCell::default(),
            turned_away: Cell::new(0),
            unsent: Cell::new(0),
            sent_bytes: Cell::new(0),
            received_bytes: Cell::new(0),
        });
        if waits {
            (link.tell)(News::Waits(listen));
        }
        let working = Rc::clone(&link);
        executor
            .spawn(async move {
                let socket = working.bound(listen).await;
                futures_lite::future::zip(working.hear(&socket), working.turns()).await;
            })
            .detach();
        Ok(link)
    }

    /// All others, as this one sees them.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.membership.borrow().members().collect()
    }

    /// How many this one reckons with, itself included.
    #[must_use]
    pub fn share(&self) -> u32 {
        self.shares.borrow().count()
    }

    /// Whether this process was stopped, and is not believed about others yet.
    #[must_use]
    pub fn doubts_itself(&self) -> bool {
        self.membership.borrow().doubts_itself()
    }

    /// Datagrams that were turned away, and those that the socket did not take.
    #[must_use]
    pub fn losses(&self) -> (u64, u64) {
        (self.turned_away.get(), self.unsent.get())
    }

    /// Bytes of datagrams sent and received since the start.
    #[must_use]
    pub fn traffic(&self) -> (u64, u64) {
        (self.sent_bytes.get(), self.received_bytes.get())
    }

    /// Says that this member leaves, as its process ends.
    pub fn leave(&self) {
        let mut actions = Vec::new();
        self.membership.borrow_mut().leave(&mut actions);
        self.carry_out(actions);
    }

    async fn bound(&self, listen: SocketAddr) -> Rc<Async<UdpSocket>> {
        loop {
            if let Some(socket) = self.socket.borrow().clone() {
                return socket;
            }
            Timer::after(AGAIN).await;
            *self.socket.borrow_mut() = Async::<UdpSocket>::bind(listen).ok().map(Rc::new);
        }
    }

    async fn turns(&self) {
        loop {
            // The turn comes before what waits at the socket: a process that was stopped has to notice that first.
            self.turn();
            Timer::after(TURN).await;
        }
    }

    fn turn(&self) {
        let mut actions = Vec::new();
        let now = (self.clock)();
        self.membership.borrow_mut().turn(now, &mut actions);
        self.carry_out(actions);
        let serving = self.membership.borrow().serving();
        let changed = self.shares.borrow_mut().see(serving, now);
        if changed {
            (self.tell)(News::Share(self.share()));
        }
    }

    async fn hear(&self, socket: &Async<UdpSocket>) {
        let mut buffer = vec![0; frame::LONGEST + 1];
        let mut burst = 0;
        loop {
            let Ok((size, from)) = socket.recv_from(&mut buffer).await else {
                // On loopback a datagram to a port that nobody holds comes back as an error here.
                futures_lite::future::yield_now().await;
                continue;
            };
            self.received_bytes
                .set(self.received_bytes.get() + size as u64);
            self.take(buffer.get(..size).unwrap_or_default(), from);
            burst += 1;
            if burst % BURST == 0 {
                futures_lite::future::yield_now().await;
            }
        }
    }

    fn take(&self, bytes: &[u8], from: SocketAddr) {
        let message = match frame::read(&self.fleet, bytes) {
            Ok(message) => message,
            Err(why) => return self.turn_away(from, &why.to_string()),
        };
        let mut actions = Vec::new();
        let heard = self
            .membership
            .borrow_mut()
            .hear((self.clock)(), &message, &mut actions);
        match heard {
            Ok(()) => self.carry_out(actions),
            Err(why) => self.turn_away(from, &why.to_string()),
        }
    }

    fn turn_away(&self, from: SocketAddr, why: &str) {
        self.turned_away.set(self.turned_away.get() + 1);
        let now = (self.clock)();
        let mut told = self.told.borrow_mut();
        told.retain(|_, at| now < *at + TOLD_EVERY);
        if told.len() < MOST_TOLD && told.insert(from.ip(), now).is_none() {
            drop(told);
            (self.tell)(News::TurnedAway(from.ip(), why.to_owned()));
        }
    }

    fn carry_out(&self, actions: Vec<Action>) {
        let socket = self.socket.borrow().clone();
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let bytes = frame::write(&self.fleet, &message);
                    let sent = bytes.zip(socket.as_ref());
                    let sent = sent.and_then(|(b, s)| s.get_ref().send_to(&b, to).ok());
                    self.sent_bytes
                        .set(self.sent_bytes.get() + sent.unwrap_or(0) as u64);
                    self.unsent
                        .set(self.unsent.get() + u64::from(sent.is_none()));
                }
                Action::Changed(name, state) => (self.tell)(News::Member(name, state)),
                Action::Link(name, cut) => (self.tell)(News::Link(name, cut)),
                Action::Superseded => (self.tell)(News::Superseded),
                Action::Full(name) => (self.tell)(News::Full(name)),
            }
        }
    }
}

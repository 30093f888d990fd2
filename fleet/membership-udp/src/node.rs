//! The node: a socket, a timer and the membership core between them.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use thiserror::Error;
use violetgate_membership::{
    Action, ConfigError, FleetSize, FleetSizeConfig, Identity, LinkState, Member, MemberName,
    MemberState, Membership, MembershipConfig, Message, Micros,
};

use crate::counters::{Counters, DatagramCounters};
use crate::datagram;
use crate::rejection_log::{RejectionLog, RejectionReason};

/// Time between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How often an address that another process holds is tried again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// After how many datagrams other tasks may run.
const DATAGRAMS_PER_YIELD: usize = 64;

/// What a node reports to the program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The number of gateways to reckon with has changed; this one is included.
    FleetSizeChanged(u32),
    /// The state of a member has changed.
    MemberStateChanged {
        /// The member.
        member: MemberName,
        /// Its new state.
        state: MemberState,
    },
    /// The link to a member has changed.
    LinkChanged {
        /// The member.
        member: MemberName,
        /// The link's new state.
        link: LinkState,
    },
    /// A newer process with this member's name has started; this one has left the fleet.
    Superseded,
    /// A datagram was rejected.
    DatagramRejected {
        /// Where it came from.
        from: IpAddr,
        /// Why.
        reason: RejectionReason,
    },
    /// A member is not added to the view, as too many are known.
    TableFull {
        /// The member that is not added.
        rejected: MemberName,
    },
    /// Another process holds the address: this one takes part once that has ended, as in an
    /// upgrade.
    AddressInUse(SocketAddr),
}

/// What a node is started with.
#[derive(Debug, Clone)]
pub struct Options {
    /// The fleet's name.
    pub fleet: String,
    /// This member's name, address and incarnation.
    pub identity: Identity,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// How the membership behaves.
    pub config: MembershipConfig,
    /// How the fleet size follows the view.
    pub fleet_size: FleetSizeConfig,
    /// Seeds the core's random choices.
    pub rng_seed: u64,
}

/// Why a node can't be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The membership can't work with its settings.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The socket can't be bound to the address.
    #[error(transparent)]
    Bind(#[from] std::io::Error),
}

type Clock = Box<dyn Fn() -> Micros>;
type EventHandler = Box<dyn Fn(MembershipEvent)>;

/// A running member of the fleet.
pub struct MembershipNode {
    fleet: String,
    /// `None` as long as another process holds the address.
    socket: RefCell<Option<Rc<Async<UdpSocket>>>>,
    clock: Clock,
    on_event: EventHandler,
    membership: RefCell<Membership>,
    fleet_size: RefCell<FleetSize>,
    rejection_log: RefCell<RejectionLog>,
    counters: Counters,
}

impl MembershipNode {
    /// Binds the socket and begins to take part, once whoever holds the address has released it.
    ///
    /// `clock` returns microseconds and never goes back; `on_event` is called for each change.
    ///
    /// # Errors
    ///
    /// [`StartError`] if the settings are not valid, or the address can't be bound for another
    /// reason than being in use.
    pub fn start(
        executor: &LocalExecutor<'static>,
        options: Options,
        clock: Clock,
        on_event: EventHandler,
    ) -> Result<Rc<Self>, StartError> {
        options.config.validate()?;
        let listen = options.listen;
        let socket = match Async::<UdpSocket>::bind(listen) {
            Err(error) if error.kind() == ErrorKind::AddrInUse => None,
            bound => Some(Rc::new(bound?)),
        };
        let now = clock();
        let membership = Membership::new(
            options.config,
            options.identity,
            &options.seeds,
            options.rng_seed,
        );
        let node = Rc::new(MembershipNode {
            fleet: options.fleet,
            socket: RefCell::new(socket),
            clock,
            on_event,
            membership: RefCell::new(membership),
            fleet_size: RefCell::new(FleetSize::new(options.fleet_size, now)),
            rejection_log: RefCell::default(),
            counters: Counters::default(),
        });
        if node.socket.borrow().is_none() {
            (node.on_event)(MembershipEvent::AddressInUse(listen));
        }
        let running = Rc::clone(&node);
        let task = executor.spawn(async move { running.run(listen).await });
        task.detach();
        Ok(node)
    }

    /// All other members, as this one sees them.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.membership.borrow().members().collect()
    }

    /// The number of gateways to reckon with, this one included.
    #[must_use]
    pub fn fleet_size(&self) -> u32 {
        self.fleet_size.borrow().size()
    }

    /// Whether this process was paused and does not suspect others yet.
    #[must_use]
    pub fn is_recovering_from_pause(&self) -> bool {
        self.membership.borrow().is_recovering_from_pause()
    }

    /// What was sent, received, rejected and not sent since the start.
    #[must_use]
    pub fn counters(&self) -> DatagramCounters {
        self.counters.get()
    }

    /// Leaves the fleet, as the process ends.
    pub fn leave(&self) {
        let mut actions = Vec::new();
        self.membership.borrow_mut().leave(&mut actions);
        self.carry_out(actions);
    }

    async fn run(&self, listen: SocketAddr) {
        let socket = self.bind(listen).await;
        futures_lite::future::zip(self.receive(&socket), self.tick_forever()).await;
    }

    async fn bind(&self, listen: SocketAddr) -> Rc<Async<UdpSocket>> {
        loop {
            if let Some(socket) = self.socket.borrow().clone() {
                return socket;
            }
            Timer::after(BIND_RETRY_INTERVAL).await;
            *self.socket.borrow_mut() = Async::<UdpSocket>::bind(listen).ok().map(Rc::new);
        }
    }

    async fn tick_forever(&self) {
        loop {
            // The tick precedes what waits at the socket: a process that was paused has to notice
            // that first.
            self.tick();
            Timer::after(TICK_INTERVAL).await;
        }
    }

    fn tick(&self) {
        let mut actions = Vec::new();
        let now = (self.clock)();
        self.membership.borrow_mut().tick(now, &mut actions);
        self.carry_out(actions);
        let serving = self.membership.borrow().serving_count();
        let has_changed = self.fleet_size.borrow_mut().observe(serving, now);
        if has_changed {
            (self.on_event)(MembershipEvent::FleetSizeChanged(self.fleet_size()));
        }
    }

    async fn receive(&self, socket: &Async<UdpSocket>) {
        let mut buffer = vec![0; datagram::MAX_DATAGRAM_BYTES + 1];
        let mut count = 0;
        loop {
            let Ok((size, from)) = socket.recv_from(&mut buffer).await else {
                // On loopback a datagram to a port that nobody holds comes back as an error here.
                futures_lite::future::yield_now().await;
                continue;
            };
            self.counters
                .update(|counters| counters.received_bytes += size as u64);
            self.handle_datagram(buffer.get(..size).unwrap_or_default(), from.ip());
            count += 1;
            if count % DATAGRAMS_PER_YIELD == 0 {
                futures_lite::future::yield_now().await;
            }
        }
    }

    fn handle_datagram(&self, bytes: &[u8], from: IpAddr) {
        let mut actions = Vec::new();
        match self.take_message(bytes, &mut actions) {
            Ok(()) => self.carry_out(actions),
            Err(reason) => self.reject(from, reason),
        }
    }

    fn take_message(&self, bytes: &[u8], actions: &mut Vec<Action>) -> Result<(), RejectionReason> {
        let message = datagram::decode(&self.fleet, bytes)?;
        let now = (self.clock)();
        let mut membership = self.membership.borrow_mut();
        membership.handle_message(now, &message, actions)?;
        Ok(())
    }

    fn reject(&self, from: IpAddr, reason: RejectionReason) {
        self.counters.update(|counters| counters.rejected += 1);
        let now = (self.clock)();
        let should_report = self.rejection_log.borrow_mut().should_report(from, now);
        if should_report {
            (self.on_event)(MembershipEvent::DatagramRejected { from, reason });
        }
    }

    fn carry_out(&self, actions: Vec<Action>) {
        for action in actions {
            let event = match action {
                Action::Send { to, message } => {
                    self.send(to, &message);
                    continue;
                }
                Action::StateChanged { member, state } => {
                    MembershipEvent::MemberStateChanged { member, state }
                }
                Action::LinkChanged { member, link } => {
                    MembershipEvent::LinkChanged { member, link }
                }
                Action::Superseded => MembershipEvent::Superseded,
                Action::TableFull { rejected } => MembershipEvent::TableFull { rejected },
            };
            (self.on_event)(event);
        }
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        let socket = self.socket.borrow().clone();
        let bytes = datagram::encode(&self.fleet, message);
        let sent = bytes
            .zip(socket)
            .and_then(|(bytes, socket)| socket.get_ref().send_to(&bytes, to).ok());
        self.counters.update(|counters| match sent {
            Some(size) => counters.sent_bytes += size as u64,
            None => counters.unsent += 1,
        });
    }
}

//! Connects the membership core to a UDP socket and a timer.

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
/// Time between two attempts to bind an address that another process holds.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Number of received datagrams after which the receiving task yields to other tasks.
const DATAGRAMS_PER_YIELD: usize = 64;

/// An event that a node reports to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The fleet size has changed to this number of gateways, including this one.
    FleetSizeChanged(u32),
    /// The state of another member has changed in this member's view.
    MemberStateChanged {
        /// Name of the member.
        member: MemberName,
        /// New state of the member.
        state: MemberState,
    },
    /// The answers of another member that is alive no longer arrive here, or arrive again.
    LinkChanged {
        /// Name of the member.
        member: MemberName,
        /// New state of the link.
        link: LinkState,
    },
    /// A newer process with this member's name has started. This process takes no further part in
    /// the fleet.
    Superseded,
    /// A datagram was rejected. At most one is reported per sender address and minute.
    DatagramRejected {
        /// IP address of the sender.
        from: IpAddr,
        /// Why the datagram was rejected.
        reason: RejectionReason,
    },
    /// A member was not added to the view because [`MembershipConfig::max_members`] are known.
    TableFull {
        /// Name of the member that was not added.
        rejected: MemberName,
    },
    /// Another process holds the address to listen on, as during an upgrade. This node joins the
    /// fleet once it can bind the address.
    AddressInUse(SocketAddr),
}

/// Options for starting a node.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the fleet. Datagrams of other fleets are rejected.
    pub fleet: String,
    /// This member's name, address and incarnation.
    pub identity: Identity,
    /// Local address that the UDP socket is bound to.
    pub listen: SocketAddr,
    /// Addresses at which other members may be found.
    pub seeds: Vec<SocketAddr>,
    /// Settings of the membership core.
    pub config: MembershipConfig,
    /// Settings for deriving the fleet size from the view.
    pub fleet_size: FleetSizeConfig,
    /// Seed for the core's random choices.
    pub rng_seed: u64,
}

/// Why a node can't be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// A membership setting is out of range.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The socket can't be bound to the listen address.
    #[error(transparent)]
    Bind(#[from] std::io::Error),
}

type Clock = Box<dyn Fn() -> Micros>;
type EventHandler = Box<dyn Fn(MembershipEvent)>;

/// A running member of the fleet. A task on the executor receives datagrams and ticks the core.
pub struct MembershipNode {
    fleet: String,
    /// `None` while another process holds the address.
    socket: RefCell<Option<Rc<Async<UdpSocket>>>>,
    clock: Clock,
    on_event: EventHandler,
    membership: RefCell<Membership>,
    fleet_size: RefCell<FleetSize>,
    rejection_log: RefCell<RejectionLog>,
    counters: Counters,
}

impl MembershipNode {
    /// Binds the socket and joins the fleet. If another process holds the address, the node retries
    /// in the background and joins once it can bind.
    ///
    /// `clock` returns microseconds and must never go back. `on_event` is called for each event.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if the settings are invalid, or if binding fails for a reason other
    /// than the address being in use.
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

    /// Returns all other members in this member's view.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.membership.borrow().members().collect()
    }

    /// Returns the number of gateways by which the capacity of each engine is divided, including
    /// this one.
    #[must_use]
    pub fn fleet_size(&self) -> u32 {
        self.fleet_size.borrow().size()
    }

    /// Returns whether this process is recovering from a pause, during which it suspects nobody.
    #[must_use]
    pub fn is_recovering_from_pause(&self) -> bool {
        self.membership.borrow().is_recovering_from_pause()
    }

    /// Returns the traffic counters since the start.
    #[must_use]
    pub fn counters(&self) -> DatagramCounters {
        self.counters.get()
    }

    /// Leaves the fleet and notifies some other members. Called when the process shuts down.
    pub fn leave(&self) {
        let mut actions = Vec::new();
        self.membership.borrow_mut().leave(&mut actions);
        self.execute(actions);
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
            // The tick runs before datagrams that wait at the socket are handled, because the core
            // has to detect a pause of the process first.
            self.tick();
            Timer::after(TICK_INTERVAL).await;
        }
    }

    fn tick(&self) {
        let mut actions = Vec::new();
        let now = (self.clock)();
        self.membership.borrow_mut().tick(now, &mut actions);
        self.execute(actions);
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
                // On loopback, an earlier datagram to a port without a socket causes an error here,
                // which is ignored.
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
        match self.process_message(bytes, &mut actions) {
            Ok(()) => self.execute(actions),
            Err(reason) => self.reject(from, reason),
        }
    }

    fn process_message(
        &self,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) -> Result<(), RejectionReason> {
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

    fn execute(&self, actions: Vec<Action>) {
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

//! Distribution of agreed state, without I/O.
//!
//! A few voters agree on the state. Observers are learners of the same consensus group: they hold a full copy of the
//! store and serve it to subscribers. Each front end subscribes to observers and holds a [`Replica`]: the entries as
//! they are now, without history.
//!
//! - [`Observer`] is the serving side: watches, snapshots in pieces, confirmations of freshness, progress reports.
//! - [`Subscriber`] is the front end's side: which observers it holds, its replica, and the gate before routing.
//!
//! Neither reads a clock, opens a socket or decides about a request.

mod message;
mod mutant;
mod observer;
mod progress;
mod replica;
mod subscriber;

pub use message::{
    EntryChange, FromObserver, FromSubscriber, ObserverWelcome, Progress, Refusal, SnapshotPlace,
    SubscriberHello, LONGEST_MESSAGE, MAGIC, VERSION,
};
#[doc(hidden)]
pub use mutant::Mutant;
pub use observer::{ConnectionId, Observer, ObserverAction, ObserverConfig, ObserverSizes, ReadId};
pub use progress::{FleetProgress, FleetTotals, InForce, ProgressSummary, LAGGARDS};
pub use replica::Replica;
pub use subscriber::{Subscriber, SubscriberAction, SubscriberConfig};

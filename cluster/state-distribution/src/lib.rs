//! Distribution of replicated state from a few voters through observers to many subscribers. This
//! crate contains the protocol logic and does no I/O.
//!
//! Voters agree on the state. Observers are learners of the same Raft group: they hold a full copy
//! of the store and serve it to subscribers. Each gateway subscribes to observers and holds a
//! [`SubscriberReplica`]: the current entries, without history.
//!
//! - [`Observer`] is the observer's side: it serves watches and snapshot transfers in chunks,
//!   confirms freshness polls, and tracks the progress of its subscribers.
//! - [`Subscriber`] is the gateway's side: its connections to observers, its replica, and the
//!   staleness check before routing.
//! - [`FleetProgress`] sums the progress that all observers report.
//!
//! Neither side reads a clock or opens a socket: the caller passes the time to each call, and
//! performs the actions that [`Observer::take_actions`] and [`Subscriber::take_actions`] return.
//!
//! ```
//! use violetgate_replicated_state::Store;
//! use violetgate_state_distribution::{
//!     Observer, ObserverConfig, Subscriber, SubscriberAction, SubscriberConfig,
//! };
//!
//! let store = Store::default();
//! let mut observer = Observer::new(ObserverConfig::default_for("lahore", 1), 0);
//! let config = SubscriberConfig::default_for("lahore", "front-end-1", vec![1]);
//! let mut subscriber = Subscriber::new(config, 7, 0);
//!
//! // The first connection is attempted after a random delay of up to 50 ms.
//! let now = 50_000;
//! subscriber.tick(now);
//! for action in subscriber.take_actions() {
//!     if let SubscriberAction::Connect { observer: id, hello } = action {
//!         let connection = 1;
//!         let welcome = observer.accept(now, connection, &hello, &store);
//!         assert_eq!(welcome.rejected, None);
//!         subscriber.connected(now, id, &welcome);
//!     }
//! }
//! assert_eq!(subscriber.held_observers().watched, Some(1));
//! assert!(subscriber.may_route(now).is_err(), "nothing is confirmed yet");
//! ```

mod fleet_progress;
mod message;
mod mutant;
mod observer;
mod rejection;
mod subscriber;
mod subscriber_replica;

pub use fleet_progress::{
    FleetProgress, FleetTotals, Laggard, ProgressSummary, RevisionInForce, MAX_LAGGARDS,
};
pub use message::{
    ChangeBatch, EntryChange, ObserverMessage, ObserverWelcome, PollId, SnapshotChunk,
    SnapshotCursor, SnapshotEntry, SubscriberHello, SubscriberMessage, SubscriberProgress,
    MAX_MESSAGE_BYTES, PROTOCOL_MAGIC, PROTOCOL_VERSION,
};
#[doc(hidden)]
pub use mutant::Mutant;
pub use observer::{
    ConnectionId, InvalidObserverConfig, Observer, ObserverAction, ObserverConfig, ObserverSizes,
    ReadId, ReadResult,
};
pub use rejection::Rejection;
pub use subscriber::{
    Backoff, HeldObservers, InvalidSubscriberConfig, Subscriber, SubscriberAction, SubscriberConfig,
};
pub use subscriber_replica::SubscriberReplica;

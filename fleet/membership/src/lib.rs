//! Membership of a fleet of up to several thousand gateways: each member keeps its own view of
//! which other members are alive.
//!
//! The protocol is SWIM's (probes, indirect probes, suspicion, refutation, gossip) with Rapid's
//! fixed observers, Lifeguard's local health, and anti-entropy between views. [`Membership`] takes
//! messages and the time, and returns [`Action`]s. It does no I/O, reads no clock and takes random
//! numbers from a seeded generator. [`FleetSize`] derives from the view the number of gateways by
//! which capacity is divided. `docs/membership.md` describes the alternatives and has the figures.
//!
//! The main rule is that an observer whose own process or network may be at fault must not declare
//! another member dead. A death therefore requires two observers (one if the member has only one),
//! and a process that was paused suspects nobody until it receives messages of others again.
//!
//! ```
//! use violetgate_membership::{Action, Identity, Membership, MembershipConfig};
//!
//! let member = |name: &str, port: u16, seeds: &[std::net::SocketAddr]| {
//!     let identity = Identity {
//!         name: name.into(),
//!         addr: ([127, 0, 0, 1], port).into(),
//!         incarnation: 1_700_000_000_000_000,
//!     };
//!     Membership::new(MembershipConfig::default(), identity, seeds, u64::from(port))
//! };
//! let mut first = member("gateway-1", 7_001, &[]);
//! let mut second = member("gateway-2", 7_002, &[([127, 0, 0, 1], 7_001).into()]);
//!
//! let mut actions = Vec::new();
//! second.tick(50_000, &mut actions);
//! for action in actions {
//!     if let Action::Send { message, .. } = action {
//!         first.handle_message(51_000, &message, &mut Vec::new())?;
//!     }
//! }
//! assert_eq!(first.serving_count(), 2);
//! # Ok::<(), violetgate_membership::InvalidMessage>(())
//! ```

// Data types and functions of the lowest layer, which don't use a member's state.
mod config;
mod fleet_size;
mod member_update;
mod message;
mod stable_hash;
mod view_digest;

// Parts of a member's state.
mod gossip_queue;
mod local_health;
mod membership;
mod observer_rings;
mod peer;
mod peer_table;
mod probe_table;
mod transfers;

// Operations on a member's state, by concern.
mod anti_entropy;
mod dissemination;
mod failure_detector;
mod merging;
mod message_handler;
mod reconnect;
mod ticker;

#[doc(hidden)]
pub use config::Mutant;
pub use config::{ConfigError, MembershipConfig};
pub use fleet_size::{FleetSize, FleetSizeConfig};
pub use member_update::{MemberName, MemberState, MemberUpdate, Precedence, MAX_NAME_BYTES};
pub use membership::{Action, Identity, LinkState, Membership};
pub use message::{
    BucketRequest, BucketSums, InvalidMessage, Message, MessageBody, MAX_UPDATES_PER_MESSAGE,
};
pub use observer_rings::ObserverRings;
pub use peer::Member;
pub use stable_hash::stable_hash;
pub use view_digest::{bucket_of, BucketSet, BUCKET_COUNT};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

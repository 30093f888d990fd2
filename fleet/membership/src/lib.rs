//! Membership of a fleet of gateways: each member's own view of which others are alive, for up to
//! some thousands.
//!
//! The protocol is SWIM's (probes, indirect probes, suspicion, refutation, gossip) with Rapid's
//! fixed observers, Lifeguard's local health, and anti-entropy between views. [`Membership`] takes
//! messages and the time, and returns [`Action`]s; it does no I/O, reads no clock and draws random
//! numbers from a seed. [`FleetSize`] derives from the view the number of gateways that decisions
//! reckon with. `docs/membership.md` has the options and figures.
//!
//! One rule stands above the others: no member is declared dead on the word of one that can't
//! distinguish the other's silence from its own. A death takes two observers (one where there is no
//! second), and a process that was paused suspects nobody until it receives messages of others
//! again.
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

// Data types, each below those that use it.
mod config;
mod fleet_size;
mod member_update;
mod message;
mod stable_hash;
mod view_digest;

// The parts of a member's state.
mod gossip_queue;
mod local_health;
mod membership;
mod observer_rings;
mod peer;
mod peer_table;
mod probe_table;
mod transfers;

// What changes the state, by concern.
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

/// A moment or a span in microseconds.
pub type Micros = u64;

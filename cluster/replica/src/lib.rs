//! One replica of the cluster, without I/O: Raft, the replicated state and the staleness guard
//! tied together.
//!
//! A client's command is answered once it is committed and applied here, and not before. If the
//! leader is deposed meanwhile, its outcome is unknown, and it may be repeated under its request
//! id. A read is answered once the store holds everything that was committed before the call; a
//! replica never answers by its own copy alone.
//!
//! The caller passes in time, messages, calls and completed storage work, and carries out the
//! [`Effect`]s.
//!
//! ```
//! use violetgate_raft::{Membership, SnapshotMetadata};
//! use violetgate_replica::{Effect, InitialState, Replica, ReplicaConfig, Response};
//!
//! let initial = InitialState {
//!     snapshot: SnapshotMetadata {
//!         membership: Membership::bootstrap([1]),
//!         ..SnapshotMetadata::default()
//!     },
//!     ..InitialState::default()
//! };
//! let mut replica = Replica::new(1, ReplicaConfig::default(), 7, initial, 0)?;
//! replica.tick(0, 0);
//! replica.read(1);
//! let mut responses = Vec::new();
//! loop {
//!     let effects = replica.take_effects();
//!     if effects.is_empty() {
//!         break;
//!     }
//!     for effect in effects {
//!         match effect {
//!             // A real caller makes the write durable first.
//!             Effect::Persist(write) => replica.persisted(write.sequence),
//!             Effect::Respond { call, response } => responses.push((call, response)),
//!             _ => {}
//!         }
//!     }
//! }
//! // Nobody led yet when the read came; the client retries.
//! assert_eq!(responses, [(1, Response::NotLeader(None))]);
//! replica.read(2);
//! assert!(matches!(
//!     replica.take_effects().as_slice(),
//!     [Effect::Respond { call: 2, response: Response::ReadReady }]
//! ));
//! # Ok::<(), violetgate_replica::ReplicaError>(())
//! ```

mod config;
mod effect;
mod proposals;
mod reads;
mod replica;
mod snapshots;

pub use config::{ReplicaConfig, ReplicaError};
pub use effect::{CallId, Effect, Response};
pub use replica::{InitialState, Replica};

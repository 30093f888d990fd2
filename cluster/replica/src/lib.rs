//! One replica of the cluster, without I/O. It combines a Raft node, the replicated store and the
//! staleness guard.
//!
//! A client's command is answered only after it is committed and applied to the local store. If the
//! leader is deposed before that, the outcome is unknown, and the command may be repeated under its
//! request id. A read is answered once the store holds everything that was committed before the
//! call. A replica never serves a read without confirmation by a majority.
//!
//! The caller passes in the time, messages, calls and completed storage writes, and carries out
//! the [`Effect`]s.
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
//!             // A production caller makes the write durable first.
//!             Effect::Persist(write) => replica.persisted(write.sequence),
//!             Effect::Respond { call, response } => responses.push((call, response)),
//!             _ => {}
//!         }
//!     }
//! }
//! // There was no leader yet when the read arrived. The client retries.
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
mod unapplied_log;

pub use config::{ReplicaConfig, ReplicaError};
pub use effect::{CallId, Effect, Response};
pub use replica::{InitialState, Replica};

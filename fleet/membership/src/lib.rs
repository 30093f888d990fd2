//! Who of the front ends is alive, as each of them sees it, for up to some thousands of them and apart from the few that
//! agree on state. [`Membership`] takes messages and the time and gives messages and changes of the view; it does no
//! I/O, keeps no clock and draws from a seed. [`Shares`] makes of the view the count that decisions reckon with.
//!
//! It must never tell that a member is dead on the word of one that can't tell the other's silence from its own: a
//! death takes two that watch it (one, where there is no second), and a process that was itself stopped accuses
//! nobody until it has heard from others again. `docs/membership.md` has the options and the figures.

mod claim;
mod digest;
mod exchange;
mod handling;
mod membership;
mod message;
mod probing;
mod rings;
mod shares;
mod spread;
mod table;

pub use claim::{place, Claim, Name, State, LONGEST_NAME};
pub use digest::{bucket_of, BUCKETS};
#[doc(hidden)]
pub use membership::Mutant;
pub use membership::{Action, Member, Membership, MembershipConfig};
pub use message::{Body, BucketSet, Message, Unfit, ViewSums, Want, MOST_CLAIMS};
pub use rings::Rings;
pub use shares::{Shares, SharesConfig};

/// A moment or a span in microseconds.
pub type Micros = u64;

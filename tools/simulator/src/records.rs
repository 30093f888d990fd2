//! What a world records.

use violetgate_membership::{LinkState, MemberState, Micros};

/// The view of a member has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewChange {
    /// When, in microseconds.
    pub at: Micros,
    /// The member whose view it is.
    pub observer: usize,
    /// The member that is viewed.
    pub subject: usize,
    /// Its new state.
    pub state: MemberState,
}

/// A member has reported a change of its link to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkChange {
    /// When, in microseconds.
    pub at: Micros,
    /// The member that reports it.
    pub observer: usize,
    /// The member at the other end.
    pub subject: usize,
    /// The link's new state.
    pub link: LinkState,
}

/// What a member has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Bytes, headers included.
    pub bytes: u64,
    /// Messages.
    pub messages: u64,
}

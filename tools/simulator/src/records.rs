//! The records that a simulated fleet keeps: changes of views and links, and traffic.

use violetgate_membership::{LinkState, MemberState, Micros};

/// A change of one member's state in the view of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewChange {
    /// The time of the change, in microseconds of simulated time.
    pub at: Micros,
    /// The number of the member whose view changed.
    pub observer: usize,
    /// The number of the member whose state changed in that view.
    pub subject: usize,
    /// The new state of the subject.
    pub state: MemberState,
}

/// A change of a member's link to another, reported by that member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkChange {
    /// The time of the report, in microseconds of simulated time.
    pub at: Micros,
    /// The number of the member that reports the change.
    pub observer: usize,
    /// The number of the member at the other end of the link.
    pub subject: usize,
    /// The new state of the link.
    pub link: LinkState,
}

/// The traffic that a member has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// The number of bytes sent, including the IP and UDP headers.
    pub bytes: u64,
    /// The number of messages sent, including lost ones.
    pub messages: u64,
}

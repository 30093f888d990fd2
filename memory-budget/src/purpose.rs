//! What memory is held for, and the share of the limit that each purpose is guaranteed.

/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Input of messages that are not complete yet.
    Input,
    /// Open requests, except for their large statements.
    Request,
    /// Large statements of open requests. They are guaranteed no share, so that small requests are
    /// still accepted beside any number of them.
    LargeStatement,
    /// Answers of engines, until the client has them.
    Result,
    /// What is remembered after a request has ended, such as its idempotency key.
    Retained,
    /// Calls of operators and messages between processes.
    Control,
}

const PERCENT: usize = 100;

impl Purpose {
    /// All purposes, in the order of their numbers.
    pub const ALL: [Purpose; 6] = [
        Purpose::Input,
        Purpose::Request,
        Purpose::LargeStatement,
        Purpose::Result,
        Purpose::Retained,
        Purpose::Control,
    ];

    /// Returns the name under which metrics and logs show the purpose.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Input => "input",
            Purpose::Request => "request",
            Purpose::LargeStatement => "large_statement",
            Purpose::Result => "result",
            Purpose::Retained => "retained",
            Purpose::Control => "control",
        }
    }

    fn guaranteed_percent(self) -> usize {
        match self {
            Purpose::Input | Purpose::Request => 15,
            Purpose::LargeStatement => 0,
            Purpose::Result => 20,
            Purpose::Retained | Purpose::Control => 10,
        }
    }

    /// Returns how many bytes of a limit no other purpose can take.
    pub(crate) fn guaranteed_bytes(self, limit: usize) -> usize {
        limit / PERCENT * self.guaranteed_percent()
    }
}

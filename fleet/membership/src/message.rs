//! What members say to each other. Each message begins with its sender's claim of itself; claims of others ride along.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::claim::{Claim, Name, State};

/// The most claims in one message: with the longest names it stays under 4 KiB, with usual ones under 1,400 bytes.
pub const MOST_CLAIMS: usize = 16;

/// What a message is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Answer me.
    Ping(u64),
    /// The answer, under the number of the ping.
    Ack(u64),
    /// Ping that one for me.
    PingFor(u64, Name, SocketAddr),
    /// It has answered a ping made for you.
    AckFor(u64, Name),
    /// Claims only.
    Tell,
    /// What my view comes to; say what you hold if yours is another.
    Compare(u64),
}

/// One message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// What it is for.
    pub body: Body,
    /// The sender's claim of itself, then claims of others.
    pub claims: Vec<Claim>,
}

/// Why a message is not heeded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Unfit {
    /// It has no claim of its sender, or too many claims.
    #[error("a message with {0} claims: check that all front ends run the same version")]
    Claims(usize),
    /// A claim can't be used.
    #[error("a claim of {0:?} that can't be used: check the names and addresses in its `fleet` block")]
    Claim(String),
    /// Its sender claims something other than to be alive, or to have left.
    #[error("a message of {0:?}, which does not claim to be alive: check that all run the same version")]
    Sender(String),
}

impl Message {
    /// Whether it can be heeded; the sender's claim.
    ///
    /// # Errors
    ///
    /// It can't; the error says what to look at.
    pub fn sender(&self) -> Result<&Claim, Unfit> {
        let first = self.claims.first().filter(|_| self.claims.len() <= MOST_CLAIMS);
        let first = first.ok_or(Unfit::Claims(self.claims.len()))?;
        if let Some(bad) = self.claims.iter().find(|c| !c.is_sound()) {
            return Err(Unfit::Claim(bad.name.chars().take(crate::LONGEST_NAME).collect()));
        }
        if !matches!(first.state, State::Alive | State::Left) {
            return Err(Unfit::Sender(first.name.to_string()));
        }
        Ok(first)
    }
}

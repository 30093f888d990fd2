//! Rejected datagrams are reported once a minute for each address, so that a stranger can't flood
//! the log.

use std::collections::BTreeMap;
use std::net::IpAddr;

use thiserror::Error;
use violetgate_membership::{InvalidMessage, Micros};

use crate::datagram::DatagramError;

/// How often the rejections of one address are reported.
const REPORT_INTERVAL_US: Micros = 60_000_000;
/// How many addresses are remembered; further ones are not reported.
const MAX_ADDRESSES: usize = 256;

/// Why a datagram was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RejectionReason {
    /// It is no datagram of this fleet.
    #[error(transparent)]
    Datagram(#[from] DatagramError),
    /// Its message is not valid.
    #[error(transparent)]
    Message(#[from] InvalidMessage),
}

/// When the rejections of each address were last reported.
#[derive(Debug, Default)]
pub(crate) struct RejectionLog(BTreeMap<IpAddr, Micros>);

impl RejectionLog {
    /// Whether a rejection is to be reported now; records it if so.
    pub fn should_report(&mut self, from: IpAddr, now: Micros) -> bool {
        self.0
            .retain(|_, reported_at| now < *reported_at + REPORT_INTERVAL_US);
        self.0.len() < MAX_ADDRESSES && self.0.insert(from, now).is_none()
    }
}

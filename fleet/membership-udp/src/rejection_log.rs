//! Limits reports of rejected datagrams to one per minute and address, so that a misconfigured or
//! hostile sender can't flood the log.

use std::collections::BTreeMap;
use std::net::IpAddr;

use thiserror::Error;
use violetgate_membership::{InvalidMessage, Micros};

use crate::datagram::DatagramError;

/// Minimum time between two reports about the same address.
const REPORT_INTERVAL_US: Micros = 60_000_000;
/// Maximum number of addresses that are remembered. Rejections from further addresses are not
/// reported.
const MAX_ADDRESSES: usize = 256;

/// Why a datagram was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RejectionReason {
    /// The datagram can't be decoded as one of this fleet.
    #[error(transparent)]
    Datagram(#[from] DatagramError),
    /// The datagram was decoded, but its message is invalid.
    #[error(transparent)]
    Message(#[from] InvalidMessage),
}

/// Time of the last report, for each address with one in the last [`REPORT_INTERVAL_US`].
#[derive(Debug, Default)]
pub(crate) struct RejectionLog(BTreeMap<IpAddr, Micros>);

impl RejectionLog {
    /// Returns whether to report a rejection now. If so, records the time of the report.
    pub fn should_report(&mut self, from: IpAddr, now: Micros) -> bool {
        self.0
            .retain(|_, reported_at| now < *reported_at + REPORT_INTERVAL_US);
        self.0.len() < MAX_ADDRESSES && self.0.insert(from, now).is_none()
    }
}

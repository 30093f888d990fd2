//! Counts the answers over both protocols, and checks that rows are complete.

use std::io::Result;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use violetgate_fake_upstreams::client::{Reply, Rows};

/// Counts the outcomes of requests and pages over all clients.
#[derive(Default)]
pub struct Tally {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    pub unanswered: AtomicU64,
    /// Results whose rows are incomplete, out of order or from several attempts, and results with a
    /// later page whose status is neither 200 nor 410.
    pub mixed: AtomicU64,
    /// Pairs of answers to the same request that differ.
    pub unequal: AtomicU64,
    /// Answers to requests for a later page of a result.
    pub pages: AtomicU64,
    /// Later pages that were answered with 410 because the result had expired.
    pub expired: AtomicU64,
}

impl Tally {
    /// Counts an HTTP answer. Returns the reply if the request was served.
    pub fn count_http(&self, reply: Result<Reply>) -> Option<Reply> {
        let count = match &reply {
            Ok(reply) if reply.status == 200 => &self.served,
            Ok(reply) if reply.status == 503 => &self.refused,
            Ok(_) => &self.failed,
            Err(_) => &self.unanswered,
        };
        count.fetch_add(1, Relaxed);
        reply.ok().filter(|reply| reply.status == 200)
    }

    /// Counts a PostgreSQL answer. Returns its rows if the query was served.
    pub fn count_postgres(&self, rows: Result<Rows>) -> Option<Vec<[String; 3]>> {
        let count = match &rows {
            Ok(Ok(_)) => &self.served,
            Ok(Err(code)) if code.starts_with("53") || code == "57P03" => &self.refused,
            Ok(Err(_)) => &self.failed,
            Err(_) => &self.unanswered,
        };
        count.fetch_add(1, Relaxed);
        rows.ok()?.ok()
    }

    /// Counts a pair of answers to the same request if they differ.
    pub fn count_unequal(&self, differ: bool) {
        self.unequal.fetch_add(u64::from(differ), Relaxed);
    }

    /// Checks that there are `count` rows, all from one attempt, in order, with none missing or
    /// repeated.
    pub fn check_rows(&self, rows: &[[String; 3]], count: usize) {
        let first = rows.first();
        let are_complete = rows.len() == count
            && rows.iter().enumerate().all(|(n, row)| {
                first.is_some_and(|f| f[..2] == row[..2])
                    && row[2].trim_end_matches('.') == n.to_string()
            });
        self.mixed.fetch_add(u64::from(!are_complete), Relaxed);
    }
}

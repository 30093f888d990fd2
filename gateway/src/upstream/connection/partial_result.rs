//! Collects the pages of a result as they arrive.

use std::ops::Range;

use violetgate_policy::interface::Cost;

use super::super::close_reason::CloseReason;
use super::super::codec::{Reply, ReplyKind};
use crate::exchange::{Pages, MAX_RESULT_BYTES};

/// A result with more pages is a protocol error. The largest result takes 8 pages of 6,000 bytes,
/// and an engine may use smaller pages.
const MAX_PAGES: usize = 256;
/// A row has three columns, separated by tabs.
const TABS_PER_ROW: usize = 2;

/// The state of a result after a page was added.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum PageOutcome {
    /// The page had arrived before. The first copy is kept. This is not a protocol error, so the
    /// connection stays open.
    Duplicate,
    /// Some pages are still missing.
    Incomplete {
        /// The numbers of the missing pages that have not been requested yet.
        pages_to_request: Range<usize>,
    },
    /// All pages have arrived.
    Complete,
}

/// A result of which some pages may be missing.
#[derive(Debug, Default)]
pub(super) struct PartialResult {
    pages: Vec<Option<Box<[u8]>>>,
    missing: usize,
    bytes: usize,
    cost: Option<Cost>,
}

impl PartialResult {
    /// Returns whether the first page has arrived.
    pub(super) fn has_begun(&self) -> bool {
        !self.pages.is_empty()
    }

    /// Returns the cost of the query that was reported with the first page, if any.
    pub(super) fn reported_cost(&self) -> Option<Cost> {
        self.cost
    }

    /// Adds the page in `reply`.
    ///
    /// # Errors
    ///
    /// Fails if the page can't belong to this result, for example because it is not made of rows.
    pub(super) fn add_page(&mut self, reply: &Reply<'_>) -> Result<PageOutcome, CloseReason> {
        let is_first = reply.kind == ReplyKind::FirstPage;
        let number = reply.page.filter(|_| !is_first).unwrap_or(0);
        if self.pages.get(number).is_some_and(Option::is_some) {
            return Ok(PageOutcome::Duplicate);
        }
        if is_first == self.has_begun() {
            return Err(CloseReason::ProtocolError);
        }
        if is_first {
            self.begin(reply)?;
        }
        self.bytes += reply.body.len();
        let is_valid = self.bytes <= MAX_RESULT_BYTES && is_rows(reply.body);
        let page = self.pages.get_mut(number).filter(|page| page.is_none());
        *page
            .filter(|_| is_valid)
            .ok_or(CloseReason::ProtocolError)? = Some(reply.body.into());
        self.missing -= 1;
        if self.missing == 0 {
            return Ok(PageOutcome::Complete);
        }
        let pages_to_request = if is_first { 1..self.pages.len() } else { 0..0 };
        Ok(PageOutcome::Incomplete { pages_to_request })
    }

    fn begin(&mut self, reply: &Reply<'_>) -> Result<(), CloseReason> {
        let page_count = reply.page_count.unwrap_or(1).max(1);
        if page_count > MAX_PAGES {
            return Err(CloseReason::ProtocolError);
        }
        self.pages.resize(page_count, None);
        self.missing = page_count;
        self.cost = reply.cost;
        Ok(())
    }

    pub(super) fn into_pages(self) -> Pages {
        self.pages.into_iter().flatten().collect()
    }
}

/// Returns whether a page consists of complete rows: UTF-8 text without NUL, in three tab-separated
/// columns, each row ended by a line feed. An empty page is valid.
pub(super) fn is_rows(page: &[u8]) -> bool {
    let is_row = |row: &[u8]| {
        let tabs = row.iter().filter(|byte| **byte == b'\t').count();
        tabs == TABS_PER_ROW && !row.contains(&0)
    };
    (page.is_empty() || page.ends_with(b"\n"))
        && std::str::from_utf8(page).is_ok()
        && page.split_inclusive(|byte| *byte == b'\n').all(is_row)
}

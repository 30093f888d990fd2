//! The pages of a result as they arrive.

use std::ops::Range;

use violetgate_policy::interface::Cost;

use super::super::close_reason::CloseReason;
use super::super::codec::{Reply, ReplyKind};
use crate::exchange::{Pages, MAX_RESULT_BYTES};

/// More pages than this are no result. The longest one takes 8 of 6,000 bytes; an engine may cut
/// shorter ones.
const MAX_PAGES: usize = 256;
/// The columns of a row.
const TABS_PER_ROW: usize = 2;

/// What a page did to a result.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum PageOutcome {
    /// It is here already. The first copy counts, and the answers behind it are sound.
    Duplicate,
    /// More pages are missing; these have not been requested yet.
    Incomplete {
        /// Their numbers.
        pages_to_request: Range<usize>,
    },
    /// It was the last one.
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
    /// Whether the first page is here.
    pub(super) fn has_begun(&self) -> bool {
        !self.pages.is_empty()
    }

    /// What the query cost, as its first page has it.
    pub(super) fn reported_cost(&self) -> Option<Cost> {
        self.cost
    }

    /// Adds a page.
    ///
    /// # Errors
    ///
    /// It can't belong to this result.
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
        let is_sound = self.bytes <= MAX_RESULT_BYTES && is_rows(reply.body);
        let page = self.pages.get_mut(number).filter(|page| page.is_none());
        *page
            .filter(|_| is_sound)
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

/// Whether a page holds complete rows of three columns of text, each row ended by a line feed.
pub(super) fn is_rows(page: &[u8]) -> bool {
    let is_row = |row: &[u8]| {
        let tabs = row.iter().filter(|byte| **byte == b'\t').count();
        tabs == TABS_PER_ROW && !row.contains(&0)
    };
    (page.is_empty() || page.ends_with(b"\n"))
        && std::str::from_utf8(page).is_ok()
        && page.split_inclusive(|byte| *byte == b'\n').all(is_row)
}

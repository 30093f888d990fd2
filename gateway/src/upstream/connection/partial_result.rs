//! Collects the pages of a result as they arrive.

use std::ops::Range;

use violetgate_memory_budget::{Charge, MemoryBudget, Purpose};
use violetgate_policy::interface::Cost;

use super::super::close_reason::CloseReason;
use super::super::codec::{Reply, ReplyKind};
use crate::exchange::{Pages, MAX_RESULT_BYTES};

/// A result with more pages is a protocol error. The largest result takes 8 pages of 6,000 bytes,
/// and an engine may use smaller pages.
const MAX_PAGES: usize = 256;
/// A row has three columns, separated by tabs.
const TABS_PER_ROW: usize = 2;

/// The largest page that engines send. Before the pages of a result after the first have arrived,
/// they are charged as if each had this size.
const EXPECTED_PAGE_BYTES: usize = 6_000;
/// What a client's connection needs to encode a result in parts: this multiple of its size, at most
/// [`MAX_ENCODING_BYTES`].
const ENCODING_FACTOR: usize = 8;
const MAX_ENCODING_BYTES: usize = 32 * 1024;

/// The state of a result after a page was added.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum PageOutcome {
    /// The result does not fit into the memory budget now. The page was not added.
    OutOfMemory,
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
#[derive(Debug)]
pub(super) struct PartialResult {
    pages: Vec<Option<Box<[u8]>>>,
    missing: usize,
    bytes: usize,
    cost: Option<Cost>,
    memory: Charge,
}

impl PartialResult {
    pub(super) fn new(memory: &MemoryBudget) -> Self {
        PartialResult {
            pages: Vec::new(),
            missing: 0,
            bytes: 0,
            cost: None,
            memory: memory.empty_charge(Purpose::Result),
        }
    }

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
        let bytes = self.bytes + reply.body.len();
        let page_count = if is_first {
            reply.page_count.unwrap_or(1).max(1)
        } else {
            self.pages.len()
        };
        let is_valid = is_first != self.has_begun()
            && number < page_count
            && page_count <= MAX_PAGES
            && bytes <= MAX_RESULT_BYTES
            && is_rows(reply.body);
        if !is_valid {
            return Err(CloseReason::ProtocolError);
        }
        if is_first
            && self
                .memory
                .resize(expected_memory(page_count, bytes))
                .is_err()
        {
            return Ok(PageOutcome::OutOfMemory);
        }
        if is_first {
            self.begin(page_count, reply.cost);
        }
        self.bytes = bytes;
        if let Some(page) = self.pages.get_mut(number) {
            *page = Some(reply.body.into());
            self.missing -= 1;
        }
        if self.missing == 0 {
            // The result is at most as large as the one that was charged.
            let _ = self.memory.resize(memory_of(self.bytes));
            return Ok(PageOutcome::Complete);
        }
        let pages_to_request = if is_first { 1..self.pages.len() } else { 0..0 };
        Ok(PageOutcome::Incomplete { pages_to_request })
    }

    fn begin(&mut self, page_count: usize, cost: Option<Cost>) {
        self.pages.resize(page_count, None);
        self.missing = page_count;
        self.cost = cost;
    }

    pub(super) fn into_pages(self) -> Pages {
        Pages::new(self.pages.into_iter().flatten().collect(), self.memory)
    }
}

/// Returns the memory of a result whose first page has arrived, in bytes. It is charged at once, so
/// that a result that has begun can be completed.
fn expected_memory(page_count: usize, first_page_bytes: usize) -> usize {
    if page_count == 1 {
        return memory_of(first_page_bytes);
    }
    let page_bytes = first_page_bytes.max(EXPECTED_PAGE_BYTES);
    memory_of((page_count * page_bytes).min(MAX_RESULT_BYTES))
}

/// Returns the memory that a result needs until its client has it, in bytes.
fn memory_of(result_bytes: usize) -> usize {
    result_bytes + (result_bytes * ENCODING_FACTOR).min(MAX_ENCODING_BYTES)
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

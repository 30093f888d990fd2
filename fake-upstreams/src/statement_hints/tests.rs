use super::*;

/// Pages stay within the protocol's size limit, and every row is on exactly one page, in order.
#[test]
fn pages_hold_whole_rows() {
    let hints = StatementHints::parse("SELECT day FROM sales_3.plan /* ms=7 rows=500 width=60 */");
    assert_eq!(
        hints,
        StatementHints {
            work_ms: 7,
            rows: 500,
            row_bytes: 60,
            fails: false,
            progress_interval_ms: 0,
            omits_cost: false
        }
    );
    let pages = hints.pages("00000000000000a1", "e-1/1");
    assert_eq!(pages.len(), 5);
    assert!(pages
        .iter()
        .all(|page| page.len() <= MAX_PAGE_BYTES && page.ends_with('\n')));
    let rows: Vec<_> = pages.iter().flat_map(|page| page.lines()).collect();
    assert_eq!(rows.len(), 500);
    for (number, row) in rows.iter().enumerate() {
        assert!(
            row.starts_with(&format!("00000000000000a1\te-1/1\t{number}.")),
            "{row}"
        );
    }
}

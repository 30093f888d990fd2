//! Tests of answers that do not fit into the memory budget.

use violetgate_memory_budget::Purpose;

use super::*;

/// Enough for the first page of two large results, and for the pages of one.
const SMALL_MEMORY_BYTES: usize = 256 * 1024;
const PAGE_BYTES: usize = 6_000;
const PAGES: usize = 8;

fn page() -> String {
    format!("a\tb\t{}\n", "x".repeat(PAGE_BYTES - 5))
}

fn first_page(id: QueryId) -> Vec<u8> {
    let page = page();
    format!("{id:016x} ok chunks={PAGES} {}\r\n{page}\r\n", page.len()).into_bytes()
}

fn further_pages(id: QueryId) -> Vec<u8> {
    let page = page();
    let further = (1..PAGES)
        .map(|number| format!("{id:016x} batch at={number} {}\r\n{page}\r\n", page.len()));
    further.collect::<String>().into_bytes()
}

/// The memory of a result is charged when its first page arrives. A second result waits until the
/// first one is released, and is then completed.
#[test]
fn a_result_that_does_not_fit_waits_for_memory() {
    let memory = MemoryBudget::new(SMALL_MEMORY_BYTES);
    let engine = FakeEngine::with_memory(3, memory.clone());
    send(&engine.pool, 1);
    let (mut first, _) = engine.accept_command();
    send(&engine.pool, 2);
    let (mut second, _) = engine.accept_command();
    first.write_all(&first_page(1)).unwrap();
    engine.run_until("the first result is charged", || {
        memory.used_for(Purpose::Result) >= PAGES * PAGE_BYTES
    });
    second.write_all(&first_page(2)).unwrap();
    second.write_all(&further_pages(2)).unwrap();
    engine.run_until("the second result does not fit", || {
        memory.counts().rejected > 0
    });
    first.write_all(&further_pages(1)).unwrap();
    engine.run_until("both attempts end", || engine.ends.0.borrow().len() == 2);
    assert_eq!(
        engine.ends.0.take(),
        [(1, Outcome::Completed), (2, Outcome::Completed)]
    );
    assert!(memory.counts().peak <= SMALL_MEMORY_BYTES);
}

/// Engines that were removed stayed in the pool's list for the life of the process.
#[test]
fn removed_engines_are_forgotten() {
    let (pool, _) = pool(3);
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    for id in 1..100 {
        for state in [EngineState::Ready, EngineState::Removed] {
            let engine = Engine {
                id,
                zone: 0,
                kind: 0,
                cell: 0,
                state,
                started: None,
            };
            pool.update_list(ListScope::Patch, &[ListedEngine { engine, addr }]);
        }
    }
    assert_eq!(pool.listed.borrow().len(), 1);
}

/// An answer that is still incomplete is charged as well, and an idle connection holds nothing.
#[test]
fn incomplete_answers_are_charged_until_they_are_handled() {
    let memory = MemoryBudget::new(SMALL_MEMORY_BYTES);
    let engine = FakeEngine::with_memory(3, memory.clone());
    send(&engine.pool, 1);
    let (mut stream, _) = engine.accept_command();
    let answer = format!("{:016x} refused - 4000\r\n{}\r\n", 1, "x".repeat(4_000));
    stream.write_all(&answer.as_bytes()[..3_000]).unwrap();
    engine.run_until("the first part is held", || {
        memory.used_for(Purpose::Result) >= 3_000
    });
    stream.write_all(&answer.as_bytes()[3_000..]).unwrap();
    engine.run_until("the attempt ends", || engine.ends.0.borrow().len() == 1);
    engine.run_until("nothing is held", || memory.used() == 0);
}

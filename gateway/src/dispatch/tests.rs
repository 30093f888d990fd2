//! What the dispatcher owes the module and the clients, without sockets.

use super::recent_ids::RECENT_ID_LIFETIME;
use super::*;
use crate::exchange::Request;
use futures_lite::FutureExt;
use violetgate_policy::interface::{Class, Engine, EngineKind, EngineState};

/// An engine side that notes what it is told and ends nothing by itself: the notes, whether its fence is shut, whether
/// what it has still waits for a connection, and by when attempts had to begin.
#[derive(Default)]
struct Notes(
    RefCell<Vec<String>>,
    Cell<bool>,
    Cell<bool>,
    RefCell<Vec<Micros>>,
);

impl Fence for Notes {
    fn is_open(&self) -> bool {
        !self.1.get()
    }
}

impl UpstreamEngines for Notes {
    fn send(&self, a: Attempt) {
        let id = a.exchange.request.query.id;
        self.3.borrow_mut().push(a.begin_by);
        let grant = if a.grant_mb > 0 {
            format!(" with {}", a.grant_mb)
        } else {
            String::new()
        };
        self.0
            .borrow_mut()
            .push(format!("send {id}.{} to {}{grant}", a.number, a.engine));
    }
    fn cancel(&self, query: QueryId) -> bool {
        self.0.borrow_mut().push(format!("cancel {query}"));
        true
    }
    fn recall(&self, query: QueryId) -> bool {
        self.0.borrow_mut().push(format!("recall {query}"));
        self.2.get()
    }
    fn weigh(&self, query: QueryId, level: u8) {
        self.0.borrow_mut().push(format!("weigh {query} {level}"));
    }
    fn cordon(&self, engine: EngineId, out: bool) {
        self.0.borrow_mut().push(format!("cordon {engine} {out}"));
    }
    fn list(&self, _: ListScope, engines: &[ListedEngine]) {
        self.0.borrow_mut().push(format!("list {}", engines.len()));
    }
}

fn dispatch(engines: u32) -> (Rc<Dispatch>, Rc<Notes>) {
    with(engines, Settings::default())
}

fn with(engines: u32, more: Settings) -> (Rc<Dispatch>, Rc<Notes>) {
    of_class(engines, Class::default(), more)
}

fn of_class(engines: u32, class: Class, more: Settings) -> (Rc<Dispatch>, Rc<Notes>) {
    let class = Class {
        deadline: Some(60_000_000),
        latency_objective: Some(60_000_000),
        priority_weight: Some(1.0),
        ..class
    };
    let settings = Settings {
        gateways: Some(1),
        classes: vec![class],
        engine_kinds: vec![EngineKind {
            cores: Some(8.0),
            memory_mb: None,
        }],
        can_cancel: true,
        max_attempts: Some(5),
        ..more
    };
    let notes = Rc::new(Notes::default());
    let fence: Rc<dyn Fence> = Rc::<Notes>::clone(&notes);
    let d = Dispatch::new(
        Clock::start(),
        settings,
        7,
        Rc::<Notes>::clone(&notes),
        Some(fence),
    );
    let engine = |id| Engine {
        id,
        zone: 0,
        kind: 0,
        cell: 0,
        state: EngineState::Ready,
        started: None,
    };
    let addr = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let list: Vec<_> = (0..engines)
        .map(|id| ListedEngine {
            engine: engine(id),
            addr,
        })
        .collect();
    d.news(ListScope::Snapshot, &list);
    (d, notes)
}

fn request(d: &Dispatch, id: QueryId, client_timeout: Micros) -> Request {
    Request {
        query: NewQuery {
            id,
            client_timeout,
            ..NewQuery::default()
        },
        received: d.now(),
        rid: "".into(),
        class: "".into(),
        token: None,
        statement: Box::default(),
    }
}

fn ask(d: &Dispatch, id: QueryId, client_timeout: Micros) -> Rc<Exchange> {
    let exchange = Exchange::new(request(d, id, client_timeout));
    assert!(d.submit(&exchange));
    exchange
}

fn end(query: QueryId, number: u32, outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        query,
        number,
        outcome,
        cost: None,
        pages: Vec::new(),
    }
}

fn answer(exchange: &Exchange) -> Option<Answer> {
    async_io::block_on(futures_lite::future::poll_once(exchange.answer()))
}

/// Spent ids are forgotten in their time, so that they don't pile up.
#[test]
fn spent_ids_are_forgotten() {
    let mut spent = RecentIds::default();
    (0..1_000).for_each(|id| spent.add(id, id * RECENT_ID_LIFETIME / 10));
    assert!(
        spent.ids.len() < 15 && spent.by_age.len() == spent.ids.len(),
        "{}",
        spent.ids.len()
    );
}

/// A severed attempt is tried again under the next number; a late end of the first changes nothing, and
/// no end is told twice.
#[test]
fn each_attempt_ends_once() {
    let (d, notes) = dispatch(2);
    let exchange = ask(&d, 1, 60_000_000);
    assert!(
        !d.submit(&exchange),
        "an id that is open is not taken again"
    );
    d.ended(end(1, 0, Outcome::ConnectionLost));
    d.ended(end(1, 0, Outcome::Completed));
    assert!(answer(&exchange).is_none());
    d.ended(end(1, 1, Outcome::Completed));
    d.ended(end(1, 1, Outcome::Completed));
    assert!(matches!(answer(&exchange), Some(Answer::Served(_))));
    assert!(answer(&exchange).is_none() && d.open.borrow().is_empty());
    let again = Exchange::new(request(&d, 1, 60_000_000));
    assert!(!d.submit(&again), "nor is one that was open a moment ago");
    let sends = notes
        .0
        .borrow()
        .iter()
        .filter(|n| n.starts_with("send 1."))
        .count();
    assert_eq!(sends, 2);
}

/// At the end of the client's time the engine is told first, then the client gets its answer, once.
#[test]
fn a_silent_attempt_is_cancelled_in_time() {
    let (d, notes) = dispatch(1);
    let exchange = ask(&d, 1, 20_000);
    async_io::block_on(async {
        let answered = async { Some(exchange.answer().await) };
        let timers = async {
            d.run_timers().await;
            None
        };
        assert!(matches!(
            answered.or(timers).await,
            Some(Answer::Refused { .. })
        ));
    });
    assert_eq!(notes.0.borrow().last().unwrap(), "cancel 1");
    d.ended(end(1, 0, Outcome::Completed));
    assert!(
        answer(&exchange).is_none() && d.open.borrow().is_empty() && d.timers.borrow().len() < 3
    );
}

/// The attempt's time ends while an answer still reaches the client: at the very end of its budget the
/// client's own cancel request may come first, and the request is lost.
#[test]
fn time_is_kept_for_the_answer_to_travel() {
    let (d, _) = dispatch(1);
    for (id, budget, kept) in [(1, 6_000_000, 25_000), (2, 8_000, 2_000)] {
        let exchange = ask(&d, id, budget);
        let at = exchange.request.received + budget - kept;
        assert!(
            d.timers.borrow().contains(&(at, Due::Overdue(id, 0))),
            "{:?}",
            d.timers.borrow()
        );
    }
}

/// A client writes requests of one key apart, and counts what it waited before into the time that it names: the answer
/// to one with a key is made so much earlier, where there is time for it.
#[test]
fn a_key_may_have_waited_at_its_client() {
    let (d, _) = dispatch(1);
    for (id, budget, kept) in [(1, 6_000_000, 275_000), (2, 400_000, 100_000)] {
        let mut keyed = request(&d, id, budget);
        keyed.query.ordering_key = Some(7 + id);
        let exchange = Exchange::new(keyed);
        assert!(d.submit(&exchange));
        let at = exchange.request.received + budget - kept;
        assert!(
            d.timers.borrow().contains(&(at, Due::Overdue(id, 0))),
            "{:?}",
            d.timers.borrow()
        );
    }
}

/// Once the client has left, its attempt is taken back and no answer is made.
#[test]
fn a_client_that_left_gets_nothing() {
    let (d, notes) = dispatch(1);
    let exchange = ask(&d, 1, 60_000_000);
    d.withdraw(1);
    d.withdraw(1);
    assert_eq!(
        notes.0.borrow().iter().filter(|n| *n == "cancel 1").count(),
        1
    );
    assert!(answer(&exchange).is_none() && d.open.borrow().is_empty());
}

/// While the fence is shut nothing is sent, not even again; what comes, and what waits, is told to go elsewhere at
/// once, and what is out may still come back.
#[test]
fn nothing_passes_a_fence_that_is_shut() {
    let (d, notes) = dispatch(2);
    let (one, two) = (ask(&d, 1, 60_000_000), ask(&d, 2, 60_000_000));
    notes.1.set(true);
    d.ended(end(1, 0, Outcome::ConnectionLost));
    assert!(matches!(answer(&one), Some(Answer::StateUnconfirmed)));
    d.shut();
    d.ended(end(2, 0, Outcome::Completed));
    assert!(matches!(answer(&two), Some(Answer::Served(_))));
    let three = ask(&d, 3, 60_000_000);
    assert!(matches!(answer(&three), Some(Answer::StateUnconfirmed)));
    let sends = notes
        .0
        .borrow()
        .iter()
        .filter(|n| n.starts_with("send"))
        .count();
    assert!(sends == 2 && d.open.borrow().is_empty() && d.turned_away() == 2);
    notes.1.set(false);
    let four = ask(&d, 4, 60_000_000);
    assert!(answer(&four).is_none() && notes.0.borrow().last().unwrap().starts_with("send 4"));
}

/// A new priority reaches what is out, but only if it is new.
#[test]
fn terms_weigh_what_is_out() {
    let (d, notes) = dispatch(1);
    let _exchange = ask(&d, 1, 60_000_000);
    for priority in [3, 3, 2] {
        d.carry_out(Action::SetResources {
            query: 1,
            memory_mb: 0.0,
            priority,
        });
    }
    let weighs: Vec<_> = notes
        .0
        .borrow()
        .iter()
        .filter(|n| n.starts_with("weigh"))
        .cloned()
        .collect();
    assert_eq!(weighs, ["weigh 1 3", "weigh 1 2"]);
}

/// A query's grant goes with its attempts, the one that holds then; what is out keeps its own.
#[test]
fn a_grant_goes_with_the_attempt() {
    let (d, notes) = with(
        2,
        Settings {
            memory_grants: true,
            ..Settings::default()
        },
    );
    let mut wanted = request(&d, 1, 60_000_000);
    wanted.query.estimated_memory_mb = Some(100.0);
    let exchange = Exchange::new(wanted);
    assert!(d.submit(&exchange));
    let first = notes.0.borrow().last().unwrap().clone();
    assert!(
        first.starts_with("send 1.0 ") && first.contains(" with 1"),
        "{first}"
    );
    d.carry_out(Action::SetResources {
        query: 1,
        memory_mb: 333.4,
        priority: 1,
    });
    d.ended(end(1, 0, Outcome::ConnectionLost));
    let second = notes.0.borrow().last().unwrap().clone();
    assert!(
        second.starts_with("send 1.1 ") && !second.contains("333"),
        "the module's last word: {second}"
    );
}

/// News reaches the module while its attempt is out, and only that of the attempt that is: of a line for memory it
/// withdraws an attempt that can go elsewhere.
#[test]
fn news_of_an_attempt_reaches_the_module() {
    let (d, notes) = with(
        2,
        Settings {
            progress_period: Some(1_000_000),
            ..Settings::default()
        },
    );
    let _exchange = ask(&d, 1, 60_000_000);
    let sends = |d: &Dispatch| d.open.borrow().get(&1).map_or(0, |o| o.attempts);
    d.noted(1, 7, Progress::WaitingForMemory);
    d.noted(8, 0, Progress::WaitingForMemory);
    assert!(sends(&d) == 1 && !notes.0.borrow().iter().any(|n| n == "cancel 1"));
    d.noted(1, 0, Progress::WaitingForMemory);
    assert!(
        sends(&d) == 2 && notes.0.borrow().iter().any(|n| n == "cancel 1"),
        "{:?}",
        notes.0.borrow()
    );
}

/// What waits for a connection when its client leaves never begins, whatever its class: where an attempt may not be
/// withdrawn, it went out once its connection came up, to run for nobody. One that has begun is left to the module.
#[test]
fn what_waits_for_a_connection_ends_with_its_client() {
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::Deduplicated,
        Idempotency::AtMostOnce,
    ] {
        for waits in [true, false] {
            let (d, notes) = of_class(
                1,
                Class {
                    idempotency,
                    ..Class::default()
                },
                Settings::default(),
            );
            notes.2.set(waits);
            let exchange = ask(&d, 1, 60_000_000);
            d.withdraw(1);
            let taken_back = notes
                .0
                .borrow()
                .iter()
                .any(|n| n == "cancel 1" || n == "recall 1");
            let over = d.open.borrow().is_empty();
            assert!(
                taken_back && answer(&exchange).is_none(),
                "{idempotency:?} {waits}: {:?}",
                notes.0.borrow()
            );
            assert!(over || !waits, "{idempotency:?}: it goes on waiting");
            assert!(
                over || idempotency != Idempotency::Idempotent,
                "{waits}: one that may be repeated is withdrawn"
            );
        }
    }
}

/// The same as an answer is given up: nothing begins for a query that has its answer.
#[test]
fn what_waits_for_a_connection_ends_with_its_answer() {
    let (d, notes) = of_class(
        1,
        Class {
            idempotency: Idempotency::AtMostOnce,
            ..Class::default()
        },
        Settings::default(),
    );
    notes.2.set(true);
    let exchange = ask(&d, 1, 60_000_000);
    d.carry_out(Action::Fail { query: 1 });
    assert!(matches!(answer(&exchange), Some(Answer::Failed)) && d.open.borrow().is_empty());
    assert_eq!(notes.0.borrow().last().unwrap(), "recall 1");
}

/// A repeat that waits for its connection must not begin once engines have forgotten its first attempt: it would run a
/// second time. The window counts from the first attempt that may have run.
#[test]
fn a_repeat_begins_within_the_deduplication_window() {
    let window = Some(2_000_000);
    let class = Class {
        idempotency: Idempotency::Deduplicated,
        dedup_window: window,
        ..Class::default()
    };
    let (d, notes) = of_class(3, class, Settings::default());
    let exchange = ask(&d, 1, 30_000_000);
    d.ended(end(1, 0, Outcome::ConnectionRefused));
    let before = d.now();
    d.ended(end(1, 1, Outcome::ConnectionLost));
    let by = notes.3.borrow().clone();
    assert_eq!(
        by[..2],
        [exchange.request.deadline(); 2],
        "nothing has run: only the deadline counts"
    );
    assert!(
        by[2] <= before + 2_000_000 && by[2] >= exchange.request.received + 2_000_000,
        "{by:?}"
    );
}

/// As the process ends, what is open is answered, and what is read later too: begun, it would be cut by the end.
#[test]
fn nothing_begins_once_the_process_ends() {
    let (d, notes) = dispatch(1);
    let first = ask(&d, 1, 60_000_000);
    d.close();
    let second = ask(&d, 2, 60_000_000);
    assert!(matches!(answer(&first), Some(Answer::ShuttingDown)));
    assert!(matches!(answer(&second), Some(Answer::ShuttingDown)));
    assert!(!notes.0.borrow().iter().any(|n| n.starts_with("send 2")));
}

//! Three members on loopback with real files, in one thread: they agree, lose one, and take it back.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used
)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use violetgate_raft::{MembershipChange, NodeId, Role};
use violetgate_replica::{ReplicaConfig, Response};
use violetgate_replica_runtime::{Bootstrap, Call, CallOutcome, ReplicaOptions, ReplicaRuntime};
use violetgate_replicated_state::{Mutation, Operation, Outcome, Txn};

const WAIT: Duration = Duration::from_secs(30);

struct Three {
    executor: Rc<LocalExecutor<'static>>,
    folder: PathBuf,
    addrs: BTreeMap<NodeId, SocketAddr>,
    members: BTreeMap<NodeId, Rc<ReplicaRuntime>>,
}

impl Drop for Three {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Three {
    fn new(name: &str, ids: std::ops::RangeInclusive<NodeId>) -> Self {
        let folder =
            std::env::temp_dir().join(format!("violetgate-cluster-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let held: Vec<_> = ids
            .map(|id| (id, std::net::TcpListener::bind("127.0.0.1:0").unwrap()))
            .collect();
        let addrs = held
            .iter()
            .map(|(id, l)| (*id, l.local_addr().unwrap()))
            .collect();
        Three {
            executor: Rc::new(LocalExecutor::new()),
            folder,
            addrs,
            members: BTreeMap::new(),
        }
    }

    fn options(&self, id: NodeId) -> ReplicaOptions {
        ReplicaOptions {
            cluster: "test".to_owned(),
            id,
            folder: self.folder.join(id.to_string()),
            listen: self.addrs[&id],
            members: self.addrs.clone(),
            config: ReplicaConfig {
                snapshot_interval: 50,
                ..ReplicaConfig::default()
            },
            seed: 7 + id,
        }
    }

    /// Makes a member's folder and starts it.
    fn begin(&mut self, id: NodeId, members: Vec<NodeId>) {
        let from = Bootstrap {
            initial_members: members,
            initial_state: Vec::new(),
        };
        ReplicaRuntime::initialize(
            "test",
            id,
            &self.folder.join(id.to_string()),
            100 + id,
            from,
        )
        .unwrap();
        self.start(id);
    }

    fn start(&mut self, id: NodeId) {
        let options = self.options(id);
        // One that has just been dropped may hold its address until its tasks are gone.
        let until = Instant::now() + WAIT;
        loop {
            match ReplicaRuntime::start(&self.executor, &options) {
                Ok(member) => {
                    self.members.insert(id, member);
                    return;
                }
                Err(e) => assert!(
                    Instant::now() < until && e.to_string().contains("in use"),
                    "{e}"
                ),
            }
            while self.executor.try_tick() {}
        }
    }

    async fn leader(&self) -> Rc<ReplicaRuntime> {
        let until = Instant::now() + WAIT;
        loop {
            let leads =
                |m: &&Rc<ReplicaRuntime>| m.status().role == Role::Leader && m.may_route().is_ok();
            if let Some(leader) = self.members.values().find(leads) {
                return Rc::clone(leader);
            }
            assert!(Instant::now() < until, "nobody leads");
            Timer::after(Duration::from_millis(5)).await;
        }
    }

    /// Puts a key, by whoever leads, until it is done.
    async fn put(&self, key: &str, value: &str) -> Outcome {
        let request = format!("put-{key}-{value}");
        let until = Instant::now() + WAIT;
        while Instant::now() < until {
            let op = Mutation::Put {
                key: key.to_owned(),
                value: value.as_bytes().to_vec(),
                lease: None,
            };
            let step = Operation::Txn(Txn {
                then: vec![op],
                ..Txn::default()
            });
            let leader = self.leader().await;
            if let CallOutcome::Completed(Response::Applied(outcome)) = leader
                .propose(Some(request.clone()), "test", step, Duration::from_secs(1))
                .await
            {
                return outcome;
            }
        }
        panic!("{key} is never put");
    }

    /// What every member holds at a key, once its copy is current.
    async fn all_hold(&self, key: &str, value: &str) {
        for (id, member) in &self.members {
            assert!(
                member.wait_until_current(WAIT).await,
                "{id} is not current: {:?}",
                member.status()
            );
            let held = member.store(|s| s.get(key).map(|(_, v)| v.clone()));
            assert_eq!(held.as_deref(), Some(value.as_bytes()), "{id}");
        }
    }
}

#[test]
fn three_agree_lose_one_and_take_it_back() {
    let mut three = Three::new("agree", 1..=3);
    (1..=3).for_each(|id| three.begin(id, vec![1, 2, 3]));
    let executor = Rc::clone(&three.executor);
    async_io::block_on(executor.run(async {
        for n in 0..120 {
            three.put("limit", &n.to_string()).await;
        }
        three.all_hold("limit", "119").await;
        // The leader goes; the others agree on, past a snapshot; it comes back with its old disk.
        let gone = three.leader().await.status().id;
        three.members.remove(&gone);
        for n in 0..120 {
            three.put("limit", &format!("later-{n}")).await;
        }
        three.start(gone);
        three.all_hold("limit", "later-119").await;
        // The same request again is the same outcome.
        let first = three.put("once", "x").await;
        assert_eq!(three.put("once", "x").await, first);
    }));
}

/// One that is cut off may not route once its state is older than the drain limit, answers no read, and takes part
/// again when it is back.
#[test]
fn one_that_is_cut_off_does_not_route() {
    let mut three = Three::new("cut", 1..=3);
    (1..=3).for_each(|id| three.begin(id, vec![1, 2, 3]));
    let executor = Rc::clone(&three.executor);
    async_io::block_on(executor.run(async {
        three.put("a", "1").await;
        let leader = three.leader().await;
        leader.transport().block_peers(&[1, 2, 3]);
        let others: Vec<_> = three
            .members
            .values()
            .filter(|m| !Rc::ptr_eq(m, &leader))
            .cloned()
            .collect();
        let until = Instant::now() + WAIT;
        while leader.may_route().is_ok() {
            assert!(Instant::now() < until, "it routes on");
            Timer::after(Duration::from_millis(10)).await;
        }
        assert!(!leader.wait_until_current(Duration::from_millis(300)).await);
        let op = Mutation::Put {
            key: "a".to_owned(),
            value: b"2".to_vec(),
            lease: None,
        };
        let step = Operation::Txn(Txn {
            then: vec![op],
            ..Txn::default()
        });
        let answered = leader
            .propose(None, "test", step, Duration::from_millis(300))
            .await;
        assert!(
            !matches!(answered, CallOutcome::Completed(Response::Applied(_))),
            "{answered:?}"
        );
        while !others.iter().any(|m| m.status().role == Role::Leader) {
            assert!(Instant::now() < until, "nobody takes over");
            Timer::after(Duration::from_millis(10)).await;
        }
        three.put("a", "3").await;
        leader.transport().block_peers(&[]);
        three.all_hold("a", "3").await;
        // Its gate asks for itself, every 250 ms.
        while leader.may_route().is_err() {
            assert!(Instant::now() < until, "it never routes again");
            Timer::after(Duration::from_millis(10)).await;
        }
    }));
}

/// A member joins, learns and votes; its folder lost, it can't come back as its old self.
#[test]
fn one_joins_and_one_that_lost_its_disk_does_not_come_back() {
    let mut three = Three::new("join", 1..=4);
    (1..=3).for_each(|id| three.begin(id, vec![1, 2, 3]));
    let executor = Rc::clone(&three.executor);
    async_io::block_on(executor.run(async {
        three.put("a", "1").await;
        three.begin(4, Vec::new());
        let within = Duration::from_secs(2);
        for (change, done) in [
            (MembershipChange::AddLearner(4), 3),
            (MembershipChange::PromoteLearner(4), 4),
            (MembershipChange::Remove(2), 3),
        ] {
            let until = Instant::now() + WAIT;
            while three.leader().await.status().members.voters.len() != done
                || !three.leader().await.status().members.contains(4)
            {
                assert!(Instant::now() < until, "{change:?} is never done");
                three.leader().await.change_membership(change, within).await;
            }
        }
        let leader = three.leader().await;
        let again = leader
            .change_membership(MembershipChange::AddLearner(2), within)
            .await;
        assert!(
            matches!(again, CallOutcome::Completed(Response::Rejected(_))),
            "{again:?}"
        );
        three.members.remove(&2);
        three.put("a", "2").await;
        three.all_hold("a", "2").await;
    }));
    three.members.remove(&3);
    while three.executor.try_tick() {}
    let folder = three.folder.join("3");
    std::fs::remove_file(folder.join("member")).unwrap();
    let rejected = ReplicaRuntime::start(&three.executor, &three.options(3))
        .err()
        .map(|error| error.to_string())
        .unwrap_or_default();
    assert!(
        rejected.contains("this folder is no member's"),
        "{rejected}"
    );
    let begun = ReplicaRuntime::initialize(
        "test",
        3,
        &folder,
        1,
        Bootstrap {
            initial_members: vec![],
            initial_state: vec![],
        },
    );
    assert!(begun
        .unwrap_err()
        .to_string()
        .contains("a member's already"));
}

/// Any member has a call agreed on, by whoever leads, and asked again it has the outcome that it had; a member that
/// comes with another disk is heard by nobody.
#[test]
fn a_follower_has_calls_agreed_on_and_another_disk_is_turned_away() {
    let mut three = Three::new("agree-anywhere", 1..=3);
    (1..=3).for_each(|id| three.begin(id, vec![1, 2, 3]));
    let executor = Rc::clone(&three.executor);
    let call = |n: u8| Call::Propose {
        request_id: format!("r-{n}"),
        actor: "test".to_owned(),
        operation: Operation::Txn(Txn {
            then: vec![Mutation::Put {
                key: "k".to_owned(),
                value: vec![n],
                lease: None,
            }],
            ..Txn::default()
        }),
    };
    async_io::block_on(executor.run(async {
        for n in 1..=3 {
            let id = u64::from(n);
            let first = three.members[&id].submit(call(n), WAIT).await;
            assert!(
                matches!(
                    first,
                    CallOutcome::Completed(Response::Applied(Outcome::Applied { .. }))
                ),
                "{first:?}"
            );
            assert_eq!(
                three.members[&(id % 3 + 1)].submit(call(n), WAIT).await,
                first
            );
        }
        assert!(three.members[&1].wait_until_current(WAIT).await);
        assert_eq!(three.members[&1].status().revision, 3);
    }));
    // Replica 3 loses its disk, and one is made anew under its id: it could vote twice.
    three.members.remove(&3);
    while three.executor.try_tick() {}
    std::fs::remove_dir_all(three.folder.join("3")).unwrap();
    let disks: BTreeMap<_, _> = (1..=3).map(|id| (id, 100 + id)).collect();
    three
        .members
        .values()
        .for_each(|m| m.transport().set_known_disks(disks.clone()));
    let from = Bootstrap {
        initial_members: vec![1, 2, 3],
        initial_state: vec![],
    };
    ReplicaRuntime::initialize("test", 3, &three.folder.join("3"), 7, from).unwrap();
    three.start(3);
    async_io::block_on(executor.run(async {
        assert!(
            !three.members[&3]
                .wait_until_current(Duration::from_secs(2))
                .await
        );
        assert_eq!(
            (
                three.members[&3].status().applied,
                three.members[&3].status().term
            ),
            (0, 0)
        );
        assert!(
            three.members[&1].wait_until_current(WAIT).await,
            "the two others go on"
        );
    }));
}

//! Two of three members are killed at once, just after one of them has forwarded a change, and are
//! restarted at once. A caller of that one then tries to take a lock that somebody else holds.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::bus::Bus;
use crate::cluster::{call, make_members, Member};
use crate::support::{note, say, sleep_ms, with_trouble, Folder, Gateway, Outcome, Verdict};

/// The time that a message between members takes.
const LINK_DELAY: Duration = Duration::from_micros(2_600);
/// How long after the call the member dies: the change has reached the leader, and is not back yet.
const KILLED_AFTER_MS: u64 = 4;
const ROUNDS: usize = 5;
/// The callers before the restart, and those after it.
const CALLERS: u64 = 8;
/// When the first caller calls after the restart, and the time between two of them.
const CALLED_AFTER_MS: u64 = 120;
const CALLED_EVERY_MS: u64 = 12;

struct Running {
    members: Vec<Member>,
    gateways: Vec<Gateway>,
}

impl Running {
    /// Returns the indexes of the leader and of the two others.
    fn roles(&self) -> Result<[usize; 3], String> {
        for _ in 0..200 {
            let leaders: Vec<_> = self.members.iter().map(Member::leader).collect();
            if let [Some(one), Some(two), Some(three)] = leaders[..] {
                if one == two && two == three {
                    let leader = one as usize - 1;
                    return Ok([leader, (leader + 1) % 3, (leader + 2) % 3]);
                }
            }
            sleep_ms(50);
        }
        Err("the members have not agreed on a leader".to_owned())
    }
}

/// Tries to take the lock, until there is an answer.
fn take_lock(api: SocketAddr, caller: u64) -> Result<(u16, String), String> {
    let mut taken = Err("no answer".to_owned());
    for _ in 0..400 {
        let path = "/v1/state?key=lock&if_revision=0&within_ms=5000";
        let value = format!("holder-{caller}");
        taken = call(api, "PUT", path, &value, Duration::from_secs(6));
        if taken.is_ok() {
            break;
        }
        sleep_ms(5);
    }
    taken
}

/// Plays a round. Returns how many callers were told that they have the lock.
fn round(running: &mut Running, folder: &Folder, number: usize) -> Result<usize, String> {
    let [leader, follower, other] = running.roles()?;
    // A planned restart, with and without trouble.
    running.gateways[follower].end()?;
    running.gateways[follower] = running.members[follower].start(folder)?;
    sleep_ms(1_500);
    let [now_leader, ..] = running.roles()?;
    if now_leader != leader {
        note(&format!("round {number}: the leader has changed"));
        return Ok(0);
    }
    note(&format!(
        "round {number}: leader {}, follower {}, other {}",
        running.members[leader].id, running.members[follower].id, running.members[other].id
    ));
    let api = running.members[follower].api;
    let before: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let path = format!("/v1/state?key=note-{number}-{caller}");
            thread::spawn(move || call(api, "PUT", &path, "x", Duration::from_secs(6)))
        })
        .collect();
    if with_trouble() {
        sleep_ms(KILLED_AFTER_MS);
        running.gateways[other].kill();
        running.gateways[follower].kill();
        running.gateways[follower] = running.members[follower].start(folder)?;
        running.gateways[other] = running.members[other].start(folder)?;
    }
    let after: Vec<_> = (0..CALLERS)
        .map(|caller| {
            thread::spawn(move || {
                sleep_ms(CALLED_AFTER_MS + caller * CALLED_EVERY_MS);
                take_lock(api, 10 + caller)
            })
        })
        .collect();
    for thread in before {
        let _ = thread.join();
    }
    let answers = after.into_iter().map(|thread| thread.join());
    let told = answers.filter(|it| matches!(it, Ok(Ok((200, _))))).count();
    sleep_ms(1_000);
    let (status, lock) = running.members[leader].call("GET", "/v1/state?key=lock", "")?;
    note(&format!(
        "round {number}: {told} callers were told that they have the lock; it is {status} {}",
        lock.trim()
    ));
    if status != 200 || !lock.contains("\"holder-1\"") {
        return Err(format!("the lock has changed: {status} {lock}"));
    }
    Ok(told)
}

pub fn run() -> Outcome {
    let folder = Folder::new()?;
    let bus = Bus::start(Duration::ZERO)?;
    let members = make_members(&folder, &bus, LINK_DELAY)?;
    let gateways: Result<Vec<_>, _> = members.iter().map(|it| it.start(&folder)).collect();
    let mut running = Running {
        members,
        gateways: gateways?,
    };
    let [leader, ..] = running.roles()?;
    sleep_ms(1_500);
    let (status, answer) =
        running.members[leader].call("PUT", "/v1/state?key=lock&if_revision=0", "holder-1")?;
    if status != 200 {
        return Err(format!("the lock can't be taken: {status} {answer}"));
    }
    let mut wrong = 0;
    let mut rounds = 0;
    for number in 0..ROUNDS {
        let told = round(&mut running, &folder, number)?;
        wrong += told;
        rounds += usize::from(told > 0);
    }
    say(&format!(
        "{wrong} callers were told that they have the lock, in {rounds} of {ROUNDS} rounds; another one held it all the time"
    ));
    Ok(if wrong == 0 {
        Verdict::Kept
    } else {
        Verdict::Broken
    })
}

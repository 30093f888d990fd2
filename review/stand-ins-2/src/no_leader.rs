//! Two members of three were replaced, as the operators' page says. Then two of the three members are
//! killed at once, the leader among them, and restarted at once.

use std::time::{Duration, Instant};

use crate::bus::Bus;
use crate::client::wait_until_ready;
use crate::cluster::{make_member, violetgate, Member};
use crate::support::{
    free_address, note, say, sleep_ms, with_trouble, Folder, Gateway, Outcome, Verdict,
};

/// No front end takes longer than this to be ready.
const READY_WITHIN: Duration = Duration::from_secs(30);

fn leader(members: &[&Member]) -> Option<u64> {
    let leaders: Vec<_> = members.iter().map(|it| it.leader()).collect();
    let first = (*leaders.first()?)?;
    leaders.iter().all(|it| *it == Some(first)).then_some(first)
}

fn wait_for_leader(members: &[&Member], wanted: Option<u64>) -> Result<u64, String> {
    for _ in 0..200 {
        if let Some(leader) = leader(members).filter(|it| wanted.is_none_or(|id| id == *it)) {
            return Ok(leader);
        }
        sleep_ms(50);
    }
    Err("the members have not agreed on the leader".to_owned())
}

/// Reads the acknowledged value from any member.
fn read_value(members: &[&Member]) -> Option<String> {
    members.iter().find_map(|member| {
        let answer = member.call("GET", "/v1/state?key=tariff&within_ms=900", "");
        note(&format!("member {} answers {answer:?}", member.id));
        answer
            .ok()
            .filter(|(status, _)| *status == 200)
            .map(|it| it.1)
    })
}

pub fn run() -> Outcome {
    let folder = Folder::new()?;
    let bus = Bus::start(Duration::ZERO)?;
    let mut listens = Vec::new();
    for id in 1..=5u64 {
        listens.push((id, free_address()?));
    }
    let make = |id: u64, known: usize, join: bool| {
        let listen = listens[id as usize - 1].1;
        make_member(&folder, &bus, id, listen, &listens[..known], join)
    };
    // Each member's settings name all members that there were or are when it is made.
    let members = [
        make(1, 3, false)?,
        make(2, 3, false)?,
        make(3, 3, false)?,
        make(4, 4, true)?,
        make(5, 5, true)?,
    ];
    let [one, two, three, four, five] = &members;
    let mut first: Vec<Gateway> = Vec::new();
    for member in [one, two, three] {
        first.push(member.start(&folder)?);
    }
    wait_for_leader(&[one, two, three], None)?;
    sleep_ms(1_000);
    let at = [three, four, five, two, one].map(|it| it.api.to_string());
    let at = [("VIOLETGATE_AT", at.join(","))];
    let mut gateway_four = four.start(&folder)?;
    let gateway_five = five.start(&folder)?;
    for (old, new) in [(one, four), (two, five)] {
        let (listen, api) = (new.listen.to_string(), new.api.to_string());
        let (from, to) = (old.id.to_string(), new.id.to_string());
        violetgate(&["members", "replace", &from, &to, &listen, &api], &at)?;
        sleep_ms(500);
        first[old.id as usize - 1].end()?;
    }
    let mut gateway_three = first.remove(2);
    let present = [three, four, five];
    for member in present {
        wait_until_ready(member.clients, READY_WITHIN)?;
    }
    violetgate(&["members", "transfer", "4"], &at).or_else(|error| {
        // It leads already.
        if leader(&present) == Some(4) {
            Ok(String::new())
        } else {
            Err(error)
        }
    })?;
    wait_for_leader(&present, Some(4))?;
    let (status, answer) = four.call("PUT", "/v1/state?key=tariff", "summer")?;
    if status != 200 {
        return Err(format!("a change failed: {status} {answer}"));
    }
    sleep_ms(2_000);
    if with_trouble() {
        gateway_four.kill();
        gateway_three.kill();
        gateway_three = three.start(&folder)?;
        gateway_four = four.start(&folder)?;
    }
    let start = Instant::now();
    let mut value = None;
    while value.is_none() && start.elapsed() < READY_WITHIN {
        value = read_value(&present);
        sleep_ms(200);
    }
    let ready = present
        .iter()
        .filter(|it| wait_until_ready(it.clients, Duration::from_secs(1)).is_ok())
        .count();
    for member in present {
        let cluster = member.call("GET", "/v1/cluster", "");
        note(&format!("member {}: {cluster:?}", member.id));
    }
    let mut gateways = [gateway_three, gateway_four, gateway_five];
    let running = gateways
        .iter_mut()
        .filter_map(|it| it.is_running().then_some(()));
    say(&format!(
        "{:.1} s after the restart {} of 3 processes run, {ready} are ready, the acknowledged value is {}",
        start.elapsed().as_secs_f64(),
        running.count(),
        value.as_deref().map_or("not answered by any", str::trim)
    ));
    Ok(if value.is_some_and(|it| it.contains("summer")) {
        Verdict::Kept
    } else {
        Verdict::Broken
    })
}

//! Real processes of the program as one fleet, through deaths, stops, losses and cuts: `prove-fleet [--short] [--seed N]`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use rustix::process::Signal;
use violetgate_fleet_harness::{Ills, Rig};

const S: Duration = Duration::from_secs(1);

fn secs(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

/// What was measured, and what was missed.
#[derive(Default)]
struct Verdict {
    figures: Vec<String>,
    missed: Vec<String>,
}

impl Verdict {
    /// Something had to come to hold within a bound.
    fn within(&mut self, name: &str, took: Option<Duration>, most: Duration) {
        let ms = took.map_or(-1, |t| t.as_millis() as i64);
        println!("  {name}: {ms} ms");
        self.figures.push(format!("{name}_ms={ms}"));
        if took.is_none_or(|t| t > most) {
            self.missed
                .push(format!("{name}: {took:?}, {most:?} at most"));
        }
    }

    /// A count had to be at most this.
    fn most(&mut self, name: &str, count: usize, most: usize) {
        println!("  {name}: {count}");
        self.figures.push(format!("{name}={count}"));
        if count > most {
            self.missed.push(format!("{name}: {count}, {most} at most"));
        }
    }
}

fn deaths_told(rig: &Rig) -> usize {
    rig.all.iter().map(|p| p.said(" is dead")).sum()
}

fn prove(short: bool, seed: u64) -> std::io::Result<Verdict> {
    let program: PathBuf = std::env::current_exe()?.with_file_name("violetgate");
    let count = if short { 4 } else { 6 };
    let everyone: Vec<usize> = (0..count).collect();
    let mut v = Verdict::default();
    let mut rig = Rig::start(&program, count, seed, "settle = \"8s\"\nstep = \"500ms\"")?;
    println!("{count} processes, seed {seed}");
    let all_alive = |rig: &Rig| everyone.iter().all(|of| rig.see(&everyone, *of, "alive"));
    v.within("together", rig.wait(10 * S, all_alive), 8 * S);
    v.most(
        "share_off",
        rig.all
            .iter()
            .filter(|p| p.share() != Some(count as u32))
            .count(),
        0,
    );

    println!("stops of 2 s, and 20% loss, 50 ms of delay and some doubled:");
    rig.relay.set_all(Ills {
        loss: 0.2,
        doubled: 0.05,
        delay: secs(0.05),
        ..Ills::default()
    });
    for turn in 0..if short { 2 } else { 6 } {
        let of = (turn + seed as usize) % count;
        rig.all[of].signal(Signal::STOP);
        std::thread::sleep(2 * S);
        rig.all[of].signal(Signal::CONT);
        std::thread::sleep(S / 2);
    }
    rig.relay.set_all(Ills::default());
    v.most("false_deaths", deaths_told(&rig), 0);
    v.within("calm_again", rig.wait(5 * S, all_alive), 5 * S);

    println!("a link cut between two that the others reach:");
    let cut = Ills {
        cut: true,
        ..Ills::default()
    };
    rig.relay.set(0, 1, cut);
    rig.relay.set(1, 0, cut);
    let cuts = |rig: &Rig| {
        rig.all[..2]
            .iter()
            .map(|p| p.said(" is cut, others"))
            .sum::<usize>()
    };
    let before = cuts(&rig);
    let told = |rig: &Rig| cuts(rig) > before;
    // Only those that watch each other can tell; of four all do, of six these two may not.
    let took = rig.wait(8 * S, told);
    if short || took.is_some() {
        v.within("cut_told", took, 6 * S);
    }
    std::thread::sleep(4 * S);
    v.most("deaths_by_cut_link", deaths_told(&rig), 0);
    rig.relay.set_all(Ills::default());

    println!("a process killed:");
    let others: Vec<usize> = (0..count - 1).collect();
    let last = count - 1;
    rig.all[last].kill();
    v.within(
        "death_known",
        rig.wait(10 * S, |r| r.see(&others, last, "dead")),
        6 * S,
    );
    let fewer = |r: &Rig| {
        others
            .iter()
            .all(|i| r.all[*i].share() == Some(count as u32 - 1))
    };
    let early = rig.wait(secs(3.0), |r| {
        others
            .iter()
            .any(|i| r.all[*i].share() != Some(count as u32))
    });
    v.most("share_grown_early", usize::from(early.is_some()), 0);
    v.within("share_grown", rig.wait(15 * S, fewer), 12 * S);
    rig.all[last].start()?;
    let whole = |r: &Rig| {
        everyone
            .iter()
            .all(|i| r.all[*i].share() == Some(count as u32))
    };
    v.within("share_shrunk", rig.wait(10 * S, whole), 5 * S);
    v.within("back", rig.wait(10 * S, all_alive), 6 * S);

    println!("one that hears nothing:");
    let before = deaths_told(&rig);
    for from in 1..count {
        rig.relay.set(from, 0, cut);
    }
    let rest: Vec<usize> = (1..count).collect();
    // Those that watch it, two at least, and still hear its own words say that the link is cut: it runs, and may be sending to engines.
    let fallen = |r: &Rig| {
        let known = |i: &usize| ["suspected", "dead"].iter().any(|s| r.see(&[*i], 0, s));
        rest.iter()
            .filter(|i| known(i) || r.all[**i].cut_off("front-0"))
            .count()
            >= 2
    };
    v.within("deaf_known", rig.wait(12 * S, fallen), 8 * S);
    std::thread::sleep(if short { 3 * S } else { 15 * S });
    v.most("deaf_forgotten", usize::from(!fallen(&rig)), 0);
    v.most(
        "deaths_told_each",
        (deaths_told(&rig) - before).div_ceil(count - 1),
        1,
    );
    v.most(
        "deaths_told_by_deaf",
        rig.all[0].said(" is dead").saturating_sub(1),
        0,
    );
    rig.relay.set_all(Ills::default());
    v.within("hears_again", rig.wait(15 * S, all_alive), 10 * S);

    println!("one that stands still for 9 s:");
    let own = rig.all[1].said(" is dead");
    rig.all[1].signal(Signal::STOP);
    std::thread::sleep(9 * S);
    let seen: Vec<usize> = everyone.iter().copied().filter(|i| *i != 1).collect();
    v.most("not_seen_dead", usize::from(!rig.see(&seen, 1, "dead")), 0);
    rig.all[1].signal(Signal::CONT);
    v.within("woken", rig.wait(15 * S, all_alive), 8 * S);
    v.most("accused_by_woken", rig.all[1].said(" is dead") - own, 0);

    println!("one that is told to end:");
    rig.all[2].signal(Signal::TERM);
    v.most("not_ended", usize::from(!rig.all[2].ends(8 * S)), 0);
    let rest: Vec<usize> = everyone.iter().copied().filter(|i| *i != 2).collect();
    v.within(
        "left_known",
        rig.wait(4 * S, |r| r.see(&rest, 2, "left")),
        3 * S,
    );
    rig.all[2].start()?;
    v.within("new_life", rig.wait(10 * S, all_alive), 6 * S);

    let unserved = rig
        .all
        .iter()
        .zip(1..)
        .filter(|(p, rid)| !p.serves(*rid))
        .count();
    v.most("unserved_at_the_end", unserved, 0);
    v.most(
        "crashed",
        rig.all.iter().map(|p| p.crashed as usize).sum(),
        0,
    );
    Ok(v)
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let short = args.iter().any(|a| a == "--short");
    let seed = args
        .iter()
        .skip_while(|a| *a != "--seed")
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(1);
    match prove(short, seed) {
        Ok(v) => {
            v.missed
                .iter()
                .for_each(|m| println!("MISSED (seed {seed}): {m}"));
            println!("fleet: {}", v.figures.join(" "));
            if v.missed.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(e) => {
            println!("prove-fleet could not run: {e}");
            ExitCode::FAILURE
        }
    }
}

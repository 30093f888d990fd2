//! Runs the scripts in `exchanges/*.txt` against the program on real sockets and compares all bytes
//! that it sends with the recorded transcript. `exchanges/README.md` explains the scripts.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod player;
mod support;

use player::{program_command, Player};

#[test]
fn the_program_answers_as_recorded() {
    insta::glob!("exchanges/*.txt", |path| {
        let script = std::fs::read_to_string(path).unwrap();
        let mut steps = script
            .lines()
            .filter(|l| !l.is_empty() && !l.starts_with('#'));
        let engines = steps
            .next()
            .and_then(|l| l.strip_prefix("engines "))
            .unwrap()
            .parse()
            .unwrap();
        let mut player = Player::start(path.file_stem().unwrap().to_str().unwrap(), engines);
        steps.for_each(|line| player.step(line));
        insta::with_settings!({ omit_expression => true, prepend_module_to_snapshot => false }, {
            insta::assert_snapshot!(std::mem::take(&mut player.transcript));
        });
    });
}

/// With an invalid configuration the program exits with one line that states the reason.
#[test]
fn a_bad_configuration_ends_the_program_with_one_line() {
    let folder = std::env::temp_dir().join(format!("violetgate-{}-config", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("config.json");
    for (text, expected) in [
        ("{", "EOF"),
        ("{\"listen\":\"127.0.0.1:0\"}", "missing field `seed`"),
        (
            r#"{"listen":"nowhere","seed":"1","bus":"127.0.0.1:1","known":{"offset":0},"settings":{}}"#,
            "`listen`: \"nowhere\"",
        ),
        (
            r#"{"listen":"127.0.0.1:0","seed":"1","bus":"127.0.0.1:1","known":{"offset":0},
            "settings":{"classes":[{"deadline":"soon"}]}}"#,
            "classes[0].deadline",
        ),
        (
            r#"{"listen":"127.0.0.1:9","management":"127.0.0.1:9","seed":"1","bus":"127.0.0.1:1",
            "known":{"offset":0},"settings":{}}"#,
            "`management`: 127.0.0.1:9 is where clients connect",
        ),
    ] {
        std::fs::write(&path, text).unwrap();
        let output = program_command(&path)
            .env_remove("PROXY_LISTEN")
            .output()
            .unwrap();
        let log = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{text}: {log}");
        assert!(
            log.lines().count() == 1 && log.contains(expected),
            "{text}: {log}"
        );
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

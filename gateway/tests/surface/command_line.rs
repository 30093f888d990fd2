//! Snapshots of the help texts, the settings reference, and errors before the program serves with
//! their exit codes.

use std::fmt::Write as _;
use std::process::{Command, Stdio};

use crate::support::run_violetgate;

/// Runs the program with only the given environment variables. Returns its exit code and all that
/// it wrote.
fn run(args: &[&str], environment: &[(&str, &str)]) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_violetgate"))
        .args(args)
        .env_clear()
        .env("COLUMNS", "100")
        .envs(environment.iter().copied())
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let text = [out.stdout, out.stderr].concat();
    (out.status.code(), String::from_utf8(text).unwrap())
}

/// Returns the names of the subcommands that a help text lists.
fn subcommands(help: &str) -> Vec<String> {
    let listed = help
        .lines()
        .skip_while(|line| *line != "Commands:")
        .skip(1)
        .take_while(|line| !line.is_empty());
    listed
        .filter(|line| line.starts_with("  ") && !line.starts_with("   "))
        .filter_map(|line| line.split_whitespace().next())
        .filter(|name| *name != "help")
        .map(str::to_owned)
        .collect()
}

fn collect_help(command: &[String], all: &mut String) {
    let mut args: Vec<&str> = command.iter().map(String::as_str).collect();
    args.push("--help");
    let (code, help) = run(&args, &[]);
    assert_eq!(code, Some(0), "{args:?}");
    writeln!(all, "$ violetgate {}\n{help}", args.join(" ")).unwrap();
    for name in subcommands(&help) {
        collect_help(&[command, &[name]].concat(), all);
    }
}

#[test]
fn help_texts_stay() {
    let mut all = String::new();
    collect_help(&[], &mut all);
    assert!(all.matches("$ violetgate").count() > 20);
    insta::assert_snapshot!("help", all);
}

#[test]
fn settings_keys_and_defaults_stay() {
    insta::assert_snapshot!("settings_reference", run(&["reference"], &[]).1);
}

/// Invalid settings, configurations and command lines end the program before it serves. The
/// snapshot has the exit code and the output of each.
#[test]
fn errors_before_serving_stay() {
    let folder = std::env::temp_dir().join(format!("violetgate-{}-surface", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let unknown = file(
        "unknown.hcl",
        "rest {\n  listen = \"127.0.0.1:1\"\n  resluts = 3\n}\nlgo {\n  format = \"json\"\n}\ncluster {\n  id = 0\n}\n",
    );
    let values = file(
        "values.hcl",
        "rest {\n  listen = \"nowhere\"\n  results = 0\n  max_body = 7\n  idle_timeout = \"1y\"\n}\n\
         log {\n  format = \"xml\"\n}\nfleet {\n  name = \"\"\n  seeds = \"x\"\n}\n",
    );
    let syntax = file("syntax.hcl", "rest {\n  listen = \n");
    let twice = file(
        "twice.hcl",
        "log {\n  format = \"text\"\n}\nlog {\n  format = \"json\"\n}\n",
    );
    let usable = file("usable.hcl", "log {\n  format = \"text\"\n}\n");
    let json = file("config.json", "{\"seed\":\"1\"}");
    let config = file(
        "listen.json",
        "{\"seed\":\"1\",\"bus\":\"127.0.0.1:1\",\"known\":{\"offset\":0},\"settings\":{}}",
    );
    let same = file(
        "same.json",
        "{\"seed\":\"1\",\"listen\":\"127.0.0.1:2\",\"management\":\"127.0.0.1:2\",\"bus\":\"127.0.0.1:1\",\
         \"known\":{\"offset\":0},\"settings\":{}}",
    );
    let missing = folder.join("missing").to_str().unwrap().to_owned();
    let mut all = String::new();
    let mut show = |args: &[&str], environment: &[(&str, &str)]| {
        let (code, text) = run(args, environment);
        let shown = format!("$ {environment:?} violetgate {}", args.join(" "));
        let block = format!("{shown}\n{text}exit code {code:?}\n\n");
        all.push_str(&block.replace(folder.to_str().unwrap(), "FOLDER"));
    };
    for path in [
        &unknown, &values, &syntax, &twice, &usable, &json, &config, &same, &missing,
    ] {
        show(&["check", path], &[]);
    }
    show(&["sreve"], &[]);
    show(&["ctl"], &[]);
    show(&["ctl", "--at", "127.0.0.1:1", "status"], &[]);
    show(&["ctl", "--at", "nowhere", "status"], &[]);
    show(&["members", "init", "--settings", &usable], &[]);
    show(&["serve", "--settings", &unknown], &[]);
    show(&["serve", "--settings", &missing], &[]);
    show(&["serve", "--nothing"], &[]);
    show(&[], &[]);
    for path in [&missing, &json, &config, &same] {
        show(&[], &[("PROXY_CONFIG", path)]);
    }
    std::fs::remove_dir_all(&folder).unwrap();
    insta::assert_snapshot!("errors_before_serving", all);
}

/// `--version` prints the name of the program first.
#[test]
fn version_names_the_program() {
    let (succeeded, text) = run_violetgate(&["--version"]);
    assert!(succeeded && text.starts_with("violetgate "), "{text}");
}

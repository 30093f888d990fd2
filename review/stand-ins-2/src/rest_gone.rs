//! A REST client sends two queries at once on a connection and goes before the first is answered.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::bus::{known, Bus, Listed};
use crate::client::wait_until_ready;
use crate::engine::Engine;
use crate::support::{
    free_address, note, now_ms, say, sleep_ms, with_trouble, Folder, Gateway, Outcome, Site,
    Verdict,
};

const ROUNDS: usize = 3;
/// An attempt for a client that has gone may begin this much later at most, in milliseconds.
const LIMIT_MS: f64 = 100.0;
/// How long the first query runs at the engine, in milliseconds.
const FIRST_RUN_MS: u64 = 1_500;

fn query(host: SocketAddr, class: &str, statement: &str, key: Option<&str>) -> String {
    let body = format!(
        r#"{{"class":"{class}","tenant":"acme","budget_ms":7000,"estimate_ms":60,"estimate_mb":8,"statement":"{statement}"}}"#
    );
    let key = key.map_or_else(String::new, |key| format!("Idempotency-Key: {key}\r\n"));
    format!(
        "POST /v1/queries HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads until two answers have come, or the connection ends.
fn read_answers(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let mut chunk = [0; 4096];
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    while let Ok(size) = stream.read(&mut chunk) {
        all.extend_from_slice(chunk.get(..size).unwrap_or_default());
        let text = String::from_utf8_lossy(&all);
        if size == 0 || (text.matches("HTTP/1.1 ").count() == 2 && text.ends_with('}')) {
            break;
        }
    }
    String::from_utf8_lossy(&all).into_owned()
}

pub fn run() -> Outcome {
    let folder = Folder::new()?;
    let bus = Bus::start(Duration::ZERO)?;
    let engine = Engine::start("e-1", 60)?;
    let first = [Listed {
        id: engine.name,
        addr: engine.addr,
        state: "in_service",
    }];
    let (listen, rest) = (free_address()?, free_address()?);
    let site = Site { drain_grace: 2.0 };
    let config = folder.write(
        "config.json",
        &site.config(listen, bus.addr, &known(&first)),
    )?;
    let settings = folder.write("rest.hcl", &format!("rest {{\n  listen = \"{rest}\"\n}}\n"))?;
    let env = [
        ("PROXY_CONFIG", config.display().to_string()),
        ("VIOLETGATE_SETTINGS", settings.display().to_string()),
    ];
    let gateway = Gateway::start(&folder, "n1", &env)?;
    wait_until_ready(listen, Duration::from_secs(30))?;
    let mut broken = 0;
    for round in 1..=ROUNDS {
        let slow =
            format!("SELECT day FROM sales_17.plan WHERE tag = 'run={FIRST_RUN_MS} round {round}'");
        let load = format!("INSERT INTO sales_17.plan SELECT day FROM staging.plan_{round}");
        let key = format!("key-{round}-{}", std::process::id());
        let text = query(rest, "lookup", &slow, None) + &query(rest, "load", &load, Some(&key));
        let mut stream = TcpStream::connect(rest).map_err(|error| error.to_string())?;
        stream
            .write_all(text.as_bytes())
            .map_err(|error| error.to_string())?;
        note(&format!("round {round}: a client sent two queries"));
        if !with_trouble() {
            let answers = read_answers(&mut stream);
            note(&format!("round {round}: answers {answers:?}"));
            if answers.matches("HTTP/1.1 200").count() != 2 {
                return Err(format!("the queries were not served: {answers}"));
            }
            continue;
        }
        sleep_ms(300);
        drop(stream);
        let gone_at = now_ms();
        note(&format!("round {round}: the client closed its connection"));
        sleep_ms(4_000);
        let run = engine.served().into_iter().find(|it| it.statement == load);
        let Some(run) = run else {
            continue;
        };
        let age = run.at_ms - gone_at;
        say(&format!(
            "round {round}: the second query, a load, was sent to the engine {age:.0} ms after its client had gone"
        ));
        broken += usize::from(age > LIMIT_MS);
    }
    drop(gateway);
    say(&format!("{broken} of {ROUNDS} rounds"));
    Ok(if broken == 0 {
        Verdict::Kept
    } else {
        Verdict::Broken
    })
}

//! Members of a cluster, with links between them that take time, and calls of their API.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use crate::bus::{known, Bus};
use crate::support::{free_address, note, root, Folder, Gateway, Site};

/// A member's addresses and files.
pub struct Member {
    pub id: u64,
    pub api: SocketAddr,
    pub listen: SocketAddr,
    pub clients: SocketAddr,
    settings: PathBuf,
    config: PathBuf,
}

/// A link to `target`: it passes on all bytes, `delay` later.
pub fn start_link(target: SocketAddr, delay: Duration) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let addr = listener.local_addr().map_err(|error| error.to_string())?;
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else {
                let _ = near.shutdown(Shutdown::Both);
                continue;
            };
            let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else {
                continue;
            };
            pass_on(near_reader, far, delay);
            pass_on(far_reader, near, delay);
        }
    });
    Ok(addr)
}

/// Passes on what `from` receives, and then its end.
fn pass_on(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    let _ = to.set_nodelay(true);
    std::thread::spawn(move || {
        let mut chunk = vec![0; 64 * 1024];
        while let Ok(size) = from.read(&mut chunk) {
            let bytes = chunk.get(..size).unwrap_or_default().to_vec();
            if size == 0 || sender.send((Instant::now() + delay, bytes)).is_err() {
                break;
            }
        }
    });
    std::thread::spawn(move || {
        while let Ok((due, bytes)) = receiver.recv() {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// Makes a member's folder and files. `members` are the addresses in its settings.
pub fn make_member(
    folder: &Folder,
    bus: &Bus,
    id: u64,
    listen: SocketAddr,
    members: &[(u64, SocketAddr)],
    join: bool,
) -> Result<Member, String> {
    let (api, clients) = (free_address()?, free_address()?);
    let listed: Vec<String> = members
        .iter()
        .map(|(id, address)| format!("    \"{id}\" = \"{address}\"\n"))
        .collect();
    let data = folder.path(&format!("member-{id}"));
    let text = format!(
        "cluster {{\n  name = \"wards\"\n  id = {id}\n  folder = \"{}\"\n  listen = \"{listen}\"\n  api = \"{api}\"\n  members = {{\n{}  }}\n}}\n",
        data.display(),
        listed.concat()
    );
    let settings = folder.write(&format!("member-{id}.hcl"), &text)?;
    let config = Site { drain_grace: 2.0 }.config(clients, bus.addr, &known(&[]));
    let config = folder.write(&format!("member-{id}.json"), &config)?;
    let mut arguments = vec!["members", "init"];
    arguments.extend(join.then_some("--join"));
    arguments.push("--settings");
    let path = settings.display().to_string();
    arguments.push(&path);
    violetgate(&arguments, &[])?;
    Ok(Member {
        id,
        api,
        listen,
        clients,
        settings,
        config,
    })
}

/// Makes three members whose links take `delay` each way, and their folders.
pub fn make_members(folder: &Folder, bus: &Bus, delay: Duration) -> Result<Vec<Member>, String> {
    let mut listens = Vec::new();
    let mut links = Vec::new();
    for id in 1..=3u64 {
        let listen = free_address()?;
        listens.push((id, listen));
        links.push((id, start_link(listen, delay)?));
    }
    listens
        .into_iter()
        .map(|(id, listen)| make_member(folder, bus, id, listen, &links, false))
        .collect()
}

/// Runs a command of the program to its end.
pub fn violetgate(arguments: &[&str], env: &[(&str, String)]) -> Result<String, String> {
    let mut command = Command::new(root()?.join("target/release/violetgate"));
    command.args(arguments);
    for (name, value) in env {
        command.env(name, value);
    }
    let output = command.output().map_err(|error| error.to_string())?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr);
    note(&format!(
        "violetgate {}: {} {errors}",
        arguments.join(" "),
        text.trim()
    ));
    if output.status.success() {
        Ok(text)
    } else {
        Err(format!("{arguments:?}: {errors}"))
    }
}

impl Member {
    pub fn start(&self, folder: &Folder) -> Result<Gateway, String> {
        let env = [
            ("PROXY_CONFIG", self.config.display().to_string()),
            ("VIOLETGATE_SETTINGS", self.settings.display().to_string()),
        ];
        Gateway::start(folder, &format!("member-{}", self.id), &env)
    }

    /// Makes a call of the member's API, and returns the status and the body.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Result<(u16, String), String> {
        call(self.api, method, path, body, Duration::from_secs(8))
    }

    /// The leader, as this member knows it.
    pub fn leader(&self) -> Option<u64> {
        let (_, body) = self.call("GET", "/v1/cluster", "").ok()?;
        let rest = body.split("\"leader\":").nth(1)?;
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().ok()
    }
}

/// Makes one HTTP call on a connection of its own.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<(u16, String), String> {
    let (status, text) = send(addr, method, path, body, limit)?;
    if method != "GET" {
        note(&format!("{addr} {method} {path} {body:?}: {status} {text}"));
    }
    Ok((status, text))
}

fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<(u16, String), String> {
    let send = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(limit))?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes())?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(String::from_utf8_lossy(&answer).into_owned())
    };
    let answer = send().map_err(|error| error.to_string())?;
    let status = answer.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| format!("no answer to {method} {path}"))?;
    let text = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    Ok((status, text.to_owned()))
}

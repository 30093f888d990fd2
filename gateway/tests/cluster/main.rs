//! Tests the program as a cluster member on real sockets: its cluster API and operators' calls. A
//! member must not start without its state, and must not send queries while it can't confirm that
//! its state is current.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    clippy::indexing_slicing,
    clippy::expect_used,
    reason = "a failed step fails the test"
)]

mod engine_list;
mod membership;
mod memory;
mod operations;
mod restart;
mod settings;
mod state;
#[path = "../support/mod.rs"]
mod support;

use std::path::Path;

use serde_json::Value;
use support::{reserve_address, GatewayProcess, HttpConnection, Reply};

/// Starts a gateway that is the only member of its cluster. Returns it and the address of its API.
fn start_single_member() -> (GatewayProcess, String) {
    let (peer, api) = (reserve_address(), reserve_address());
    let block = |folder: &Path| cluster_block(folder, 1, &peer, &api, &[(1, &peer)]);
    let gateway = GatewayProcess::start_with_blocks(2, "", 12.0, block);
    (gateway, api.clone())
}

fn cluster_block(folder: &Path, id: u64, peer: &str, api: &str, members: &[(u64, &str)]) -> String {
    let members: String = members
        .iter()
        .map(|(id, at)| format!("    \"{id}\" = \"{at}\"\n"))
        .collect();
    format!(
        "cluster {{\n  name = \"test\"\n  id = {id}\n  folder = \"{}\"\n  listen = \"{peer}\"\n  api = \"{api}\"\n  \
         members = {{\n{members}  }}\n}}\n",
        folder.join("member").display()
    )
}

struct Api(HttpConnection);

impl Api {
    fn new(at: &str) -> Self {
        Api(HttpConnection::open(at))
    }

    fn call(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Reply {
        self.0.send(method, path, headers, body.as_bytes());
        self.0.read()
    }

    fn get(&mut self, path: &str) -> Reply {
        self.call("GET", path, &[], "")
    }

    fn put(&mut self, key: &str, value: &str) -> u64 {
        let reply = self.call("PUT", &format!("/v1/state?key={key}"), &[], value);
        assert_eq!(reply.status, 200, "{}", reply.body.escape_ascii());
        reply.json()["revision"].as_u64().unwrap()
    }
}

fn keys(page: &Value) -> Vec<(String, String)> {
    let entries = page["entries"].as_array().unwrap();
    entries
        .iter()
        .map(|e| {
            (
                e["key"].as_str().unwrap().into(),
                e["value"].as_str().unwrap().into(),
            )
        })
        .collect()
}

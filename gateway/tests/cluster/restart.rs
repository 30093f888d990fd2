//! Members that joined after the first ones, restarted before there is a leader.

use std::path::Path;

use serde_json::json;

use crate::support::{reserve_address, run_violetgate, wait_until, GatewayProcess};
use crate::{cluster_block, Api};

/// A member and the addresses that others reach it at.
struct Member {
    gateway: GatewayProcess,
    id: u64,
    listen: String,
    api: String,
}

impl Member {
    /// Starts a member. `others` are the further members that its settings name.
    fn start(id: u64, others: &[&Member]) -> Self {
        let (listen, api) = (reserve_address(), reserve_address());
        let mut named: Vec<_> = others
            .iter()
            .map(|it| (it.id, it.listen.as_str()))
            .collect();
        named.push((id, &listen));
        let block = |folder: &Path| cluster_block(folder, id, &listen, &api, &named);
        let gateway = if others.is_empty() {
            GatewayProcess::start_with_blocks(1, "", 12.0, block)
        } else {
            GatewayProcess::start_joining(1, block)
        };
        Member {
            gateway,
            id,
            listen: listen.clone(),
            api: api.clone(),
        }
    }

    /// Makes `joining` a voter by a call of this member's API.
    fn add_voter(&self, joining: &Member) {
        let mut api = Api::new(&self.api);
        let (id, listen) = (joining.id, &joining.listen);
        let add = json!({"add": {"id": id, "listen": listen, "api": joining.api}});
        let mut post = |body: serde_json::Value| {
            api.call("POST", "/v1/cluster/members", &[], &body.to_string())
                .status
        };
        assert_eq!(post(add), 200);
        wait_until("the member votes", || post(json!({"promote": id})) == 200);
        joining.gateway.wait_until_healthy();
    }

    fn kill(&mut self) {
        self.gateway.child.kill().unwrap();
        self.gateway.child.wait().unwrap();
    }

    fn value(&self, key: &str) -> Option<String> {
        let reply = Api::new(&self.api).get(&format!("/v1/state?key={key}&within_ms=500"));
        (reply.status == 200).then(|| reply.json()["value"].as_str().unwrap().to_owned())
    }
}

/// Guards against members that can't elect a leader after a restart, as the addresses of those that
/// joined are in their logs but not applied yet.
#[test]
fn restarted_members_find_those_that_joined_after_them() {
    // Each names only those before it, so the first ones know the last one by their logs alone.
    let one = Member::start(1, &[]);
    let two = Member::start(2, &[&one]);
    one.add_voter(&two);
    let three = Member::start(3, &[&one, &two]);
    one.add_voter(&three);
    Api::new(&one.api).put("tariff", "summer");
    let mut members = [one, two, three];
    // Without a leader, a member reads nothing.
    for restarted in [&[0][..], &[2], &[0, 1], &[1, 2], &[0, 1, 2]] {
        for index in restarted {
            members[*index].kill();
        }
        for index in restarted {
            members[*index].gateway.restart();
        }
        for member in &members {
            wait_until("the member reads the value", || {
                member.value("tariff").as_deref() == Some("summer")
            });
            member.gateway.wait_until_healthy();
        }
    }
    let listed = run_violetgate(&["members", "--at", &members[0].api, "list"]).1;
    assert!(listed.contains(&members[2].listen), "{listed}");
}

//! The text that the demo prints at its start: its addresses, and commands to try.

use super::instance::Instance;
use super::Demo;

/// Returns the text for a demo with these instances.
pub(super) fn text(demo: &Demo, instances: &[Instance]) -> String {
    let Some(first) = instances.first() else {
        return String::new();
    };
    let cluster = if instances.len() > 1 {
        cluster_text(instances, first)
    } else {
        String::new()
    };
    cluster + &commands_text(demo, first)
}

/// The commands for a demo of several instances, which use the cluster and the fleet.
fn cluster_text(instances: &[Instance], first: &Instance) -> String {
    let apis: Vec<_> = instances
        .iter()
        .map(|instance| instance.api.as_str())
        .collect();
    let (count, apis, management) = (instances.len(), apis.join(","), &first.management);
    format!(
        r#"{count} instances on consecutive ports agree on cordons, drains and settings, and know which of them are alive:

  export VIOLETGATE_AT={apis}
  violetgate members list
  violetgate ctl cordon e-1
  violetgate ctl watch &
  violetgate ctl put greeting hello
  curl -s http://{management}/admin/stats | grep fleet    # then stop or kill one, and look again

"#
    )
}

/// The commands that every demo has. They use the addresses of the first instance.
fn commands_text(demo: &Demo, first: &Instance) -> String {
    let (engines, port) = (demo.engines, demo.port);
    let Instance {
        listen,
        rest,
        management,
        ..
    } = first;
    format!(
        r#"violetgate demo: {engines} stand-in engines, PostgreSQL at {listen}, REST at {rest}. Ctrl-C ends it.

Over PostgreSQL (each request needs a new id, `rid`):

  psql "host=127.0.0.1 port={port} user=app dbname=analytics sslmode=disable" -c \
    "/* method=lookup,rid=$(od -An -N8 -tx8 /dev/urandom | tr -d ' '),budget=5000 */ SELECT day FROM sales_17.plan"

Over REST; `rows` and `width` are hints to the stand-in engines, and make a result of several pages:

  curl -i http://{rest}/v1/queries -d '{{"class":"report","budget_ms":60000,
    "statement":"SELECT day FROM sales_17.plan /* rows=400 width=40 */"}}'
  curl -i http://{rest}/v1/queries/ID/pages/2        # ID from the first answer
  curl -i -X DELETE http://{rest}/v1/queries/ID

With an idempotency key; the same command again gets the same answer and runs nothing:

  curl -i http://{rest}/v1/queries -H 'Idempotency-Key: ward-7' -d '{{"class":"load","budget_ms":10000,
    "order_key":"7f3a9c21e0b4d655","statement":"INSERT INTO sales_2.plan SELECT 1"}}'

Operators' calls:

  curl http://{management}/admin/stats
  curl -X PUT -d '{{"host":"e-1"}}' http://{management}/admin/cordon

"#
    )
}

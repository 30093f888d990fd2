# Settings of violetgate that its operators own. Every key is optional and stands here with its default;
# docs/configuration.md explains them all. Check a file before it is used:
#
#     violetgate check deploy/violetgate.hcl
#
# It is read where `violetgate serve --settings FILE` or $VIOLETGATE_SETTINGS names it. The `run` line in
# balancer.toml names none: what this platform has no room for stays off there.

log {
  format = "text" # or "json"
  lines_waiting = 4096
}

# The REST front. This block has to be taken out where none is wanted; on the platform of balancer.toml, which has
# no address for it, there is none.
rest {
  listen = "127.0.0.1:8480" # must be given
  max_connections = 64
  max_head = "16KiB"
  max_body = "96KiB"
  head_timeout = "2s"
  body_timeout = "3s"
  idle_timeout = "60s"
  write_timeout = "10s"
  results_bytes = "16MiB"
  results = 10000
  idempotency_keys = 10000
}

# This instance as a member of a cluster (docs/daemon-operations.md). This block, too, has to be taken out where none is
# wanted; on the platform of balancer.toml, where instances share nothing, there is none.
cluster {
  role = "member"
  name = "wards"
  id = 1
  folder = "/var/lib/violetgate"
  listen = "127.0.0.1:7480"
  api = "127.0.0.1:7490"
  members = {
    "1" = "127.0.0.1:7480"
    "2" = "127.0.0.1:7481"
    "3" = "127.0.0.1:7482"
  }
  drain_limit = "2s"
  confirm_every = "250ms"
  election_timeout = "500ms"
  heartbeat = "100ms"
  snapshot_every = 10000
  subscribers_listen = "0.0.0.0:0"
  subscribers = 4000
}

# A front end that subscribes has this block instead: it follows what the members agree on and keeps nothing on disk.
#
# cluster {
#   role = "subscriber"
#   name = "wards"
#   front_end = "fe-17"
#   observers = {
#     "6" = "127.0.0.1:7206"
#     "7" = "127.0.0.1:7207"
#   }
#   drain_limit = "2s"
#   confirm_every = "250ms"
# }

# This front end as one of a fleet that shares engines (docs/fleet-operations.md). It, too, has to be taken out where none
# is wanted; on the platform of balancer.toml, where front ends may not talk to each other, there is none.
fleet {
  name = "wards"
  member = "front-1"
  listen = "127.0.0.1:7500"
  address = "0.0.0.0:0"
  seeds = ["127.0.0.1:7500", "127.0.0.1:7501", "127.0.0.1:7502"]
  probe_every = "1s"
  reply_within = "300ms"
  suspect_for = "3400ms"
  settle = "15s"
  step = "2s"
}

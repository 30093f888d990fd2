//! Settings for a gateway in front of fake engines.

use serde_json::{json, Value};

/// Returns settings with the classes `lookup` and `report` (idempotent) and `load` (with
/// idempotency keys, in order of arrival), and the tenants `north` and `south`.
#[must_use]
pub fn settings() -> Value {
    json!({
        "balancers": 1,
        "classes": [
            {"name": "lookup", "deadline": 10.0, "objective": 1.5, "aim-stretch": 2.0, "credit": 1.0,
             "effect": "idempotent", "late-worth": 0.5},
            {"name": "report", "deadline": 20.0, "objective": 2.0, "aim-stretch": 2.5, "credit": 6.0,
             "effect": "idempotent", "late-worth": 0.5},
            {"name": "load", "deadline": 20.0, "objective": 3.0, "aim-stretch": 3.0, "credit": 5.0,
             "effect": "deduplicated", "group": "all", "window": 12.0, "by-arrival": true, "late-worth": 0.5}],
        "domain": {"parallelism": [1, 2, 2], "is-load": [false, false, true], "priorities": true,
                   "size-cores": [8], "tells-cost": true},
        "kinds": ["k"], "localities": ["z"], "locality": 0,
        "realms": [{"name": "north", "allowance-per-s": 5000.0}, {"name": "south", "allowance-per-s": 5000.0}],
        "limits": {"cancel": true, "connect-timeout": 0.25, "idle-close": 30.0, "max-attempts": 5,
                   "max-retry-after": 1.0, "retry-after": true, "streams-per-conn": 100},
        "rules": {"cold": 15.0, "cold-share": 0.3, "drain-grace": 2.0, "extra-share": 0.1, "fall": 3.0,
                  "fall-multiple": 2.5, "free-resends": 3.0, "resend-span": 5.0, "grace-to-answer": 0.02,
                  "turn-gap": 0.3}
    })
}

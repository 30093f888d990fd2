use super::*;

fn config() -> Config {
    Config::default()
}

#[test]
fn the_default_is_valid() {
    assert_eq!(config().validate(), Ok(()));
}

#[test]
fn a_heartbeat_has_to_come_before_followers_campaign() {
    let slow = Config {
        heartbeat_interval: config().election_timeout,
        ..config()
    };
    assert_eq!(slow.validate(), Err(ConfigError::HeartbeatTooSlow));
}

#[test]
fn limits_have_to_be_positive() {
    for (config, setting) in [
        (
            Config {
                election_timeout: 0,
                ..config()
            },
            "election_timeout",
        ),
        (
            Config {
                heartbeat_interval: 0,
                ..config()
            },
            "heartbeat_interval",
        ),
        (
            Config {
                max_inflight_messages: 0,
                ..config()
            },
            "max_inflight_messages",
        ),
        (
            Config {
                max_uncommitted_bytes: 0,
                ..config()
            },
            "max_uncommitted_bytes",
        ),
        (
            Config {
                max_apply_batch: 0,
                ..config()
            },
            "max_apply_batch",
        ),
    ] {
        assert_eq!(config.validate(), Err(ConfigError::Zero(setting)));
    }
}

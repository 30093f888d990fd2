//! Checks that invalid settings are rejected with an error that names the setting.

use violetgate_membership::{ConfigError, MembershipConfig};

#[test]
fn default_settings_are_valid() {
    assert_eq!(MembershipConfig::default().validate(), Ok(()));
}

#[test]
fn zero_spans_and_counts_are_rejected_by_name() {
    let no_interval = MembershipConfig {
        probe_interval: 0,
        ..MembershipConfig::default()
    };
    assert_eq!(
        no_interval.validate(),
        Err(ConfigError::ZeroSpan("probe_interval"))
    );
    let no_members = MembershipConfig {
        max_members: 0,
        ..MembershipConfig::default()
    };
    assert_eq!(
        no_members.validate(),
        Err(ConfigError::ZeroCount("max_members"))
    );
}

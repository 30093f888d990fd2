#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use violetgate_membership::{MemberState, MemberUpdate, MessageBody, MAX_UPDATES_PER_MESSAGE};

use super::*;

fn longest_message() -> Message {
    let name: String = "n".repeat(64);
    let update = MemberUpdate {
        name: name.as_str().into(),
        addr: "[2001:db8::ffff:ffff]:65535".parse().unwrap(),
        incarnation: u64::MAX,
        refutations: u32::MAX,
        state: MemberState::Suspect,
        accuser: Some(name.as_str().into()),
    };
    Message {
        body: MessageBody::IndirectPing {
            sequence: u64::MAX,
            target: name.as_str().into(),
            addr: update.addr,
        },
        updates: vec![update; MAX_UPDATES_PER_MESSAGE],
    }
}

/// The longest message fits into a datagram. Truncated datagrams and those of other fleets,
/// versions and protocols are rejected. Altered bytes must not cause a panic.
#[test]
fn only_whole_datagrams_of_this_fleet_are_decoded() {
    let longest = longest_message();
    let bytes = encode("wards", &longest).unwrap();
    assert_eq!(decode("wards", &bytes), Ok(longest));
    for end in 0..bytes.len() {
        assert!(
            decode("wards", &bytes[..end]).is_err(),
            "truncated to {end} bytes"
        );
    }
    assert_eq!(
        decode("others", &bytes),
        Err(DatagramError::OtherFleet("wards".to_owned()))
    );
    assert_eq!(
        decode("wards", b"GET / HTTP/1.1"),
        Err(DatagramError::UnknownProtocol)
    );
    let mut newer = bytes.clone();
    newer[4] = 9;
    assert_eq!(
        decode("wards", &newer),
        Err(DatagramError::UnsupportedVersion(9))
    );
    let longer = [&bytes[..], b"x"].concat();
    assert_eq!(decode("wards", &longer), Err(DatagramError::Malformed));
    for index in 0..bytes.len() {
        let mut altered = bytes.clone();
        altered[index] ^= 0x41;
        let _ = decode("wards", &altered);
    }
}

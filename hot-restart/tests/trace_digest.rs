//! Regression tests that detect any change of behaviour. Each end of the protocol handles
//! pseudorandom sequences of events, and an FNV-1a hash over its encoded actions must equal the
//! recorded digest. Stored frames of the previous release must decode, and encode to the same
//! bytes.

#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;

use async_io::Async;
use violetgate_hot_restart::connection::HandoverConnection;
use violetgate_hot_restart::{
    Action, Message, Predecessor, Refusal, Successor, MAX_PART_BYTES, STEP_TIMEOUT_US,
};

/// A 64-bit FNV-1a hash.
struct Fnv(u64);

impl Fnv {
    fn new() -> Self {
        Fnv(0xcbf2_9ce4_8422_2325)
    }

    fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// A linear congruential generator of pseudorandom numbers.
struct Lcg(u64);

impl Lcg {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 20) % limit.max(1)
    }
}

fn write_action(hash: &mut Fnv, action: &Action) {
    let (number, bytes) = match action {
        Action::Send(message) => (1, postcard::to_stdvec(message).unwrap()),
        Action::SendWithSockets(message) => (2, postcard::to_stdvec(message).unwrap()),
        Action::SendPart(part) => (3, part.to_le_bytes().to_vec()),
        Action::StartAcceptingClients => (4, vec![1]),
        Action::StopAcceptingClients => (4, vec![0]),
        Action::StartAcceptingKeys => (5, vec![1]),
        Action::StopAcceptingKeys => (5, vec![0]),
        Action::SendOwnership => (6, vec![]),
        Action::KeepSockets => (7, vec![]),
        Action::AdoptPart { number, bytes } => (8, [&number.to_le_bytes()[..], bytes].concat()),
        Action::AdoptChanges(bytes) => (9, bytes.clone()),
        Action::ListenOnOwnSocket => (10, vec![]),
        Action::Disconnect => (11, vec![]),
    };
    hash.number(number);
    hash.number(bytes.len() as u64);
    hash.bytes(&bytes);
}

/// Returns a random message, valid or invalid in the current state.
fn any_message(rng: &mut Lcg) -> Message {
    match rng.below(13) {
        0 | 1 => Message::Hello {
            min_version: rng.below(3) as u16,
            max_version: rng.below(4) as u16,
        },
        2 => Message::Refuse(
            [
                Refusal::NoCommonVersion,
                Refusal::HandoverInProgress,
                Refusal::ShuttingDown,
            ][rng.below(3) as usize],
        ),
        3 | 4 => Message::Offer {
            version: rng.below(3) as u16,
            part_count: rng.below(3) as u32,
        },
        5 | 6 => {
            let long = rng.below(10) == 0;
            Message::StatePart {
                number: rng.below(2) as u32,
                bytes: vec![rng.below(256) as u8; if long { MAX_PART_BYTES + 1 } else { 3 }],
            }
        }
        7 | 8 => Message::PartsReceived {
            next: rng.below(4) as u32,
        },
        9 => Message::Ready,
        10 => Message::TransferOwnership(vec![rng.below(256) as u8; 2]),
        11 => Message::InFlightCompleted(vec![rng.below(256) as u8; 4]),
        _ => Message::Drained,
    }
}

#[test]
fn predecessor_actions_match_recorded_digest() {
    let mut hash = Fnv::new();
    let mut rng = Lcg(1);
    for _ in 0..5_000 {
        let mut predecessor = Predecessor::new();
        let mut now = rng.below(1_000_000_000);
        for _ in 0..20 {
            now += rng.below(STEP_TIMEOUT_US / 4);
            match rng.below(16) {
                0 => predecessor.handle_timeout(now),
                1 => predecessor.handle_disconnect(),
                2 => predecessor.report_drained(),
                3 => predecessor.report_completion(vec![rng.below(256) as u8]),
                4 if rng.below(4) == 0 => predecessor.shut_down(),
                _ => predecessor.handle_message(&any_message(&mut rng), rng.below(3) as u32, now),
            }
            for action in predecessor.take_actions() {
                write_action(&mut hash, &action);
            }
            hash.number(predecessor.next_timeout().unwrap_or(u64::MAX));
            hash.number(u64::from(predecessor.has_handed_over()));
            hash.number(match predecessor.check_available() {
                Ok(()) => 0,
                Err(Refusal::NoCommonVersion) => 1,
                Err(Refusal::HandoverInProgress) => 2,
                Err(Refusal::ShuttingDown) => 3,
            });
        }
    }
    assert_eq!(hash.0, 0x976c_efbf_3fff_9be7, "{:#018x}", hash.0);
}

#[test]
fn successor_actions_match_recorded_digest() {
    let mut hash = Fnv::new();
    let mut rng = Lcg(2);
    for _ in 0..5_000 {
        let mut now = rng.below(1_000_000_000);
        let mut successor = Successor::start(now);
        let mut next_part = 0;
        for _ in 0..20 {
            now += rng.below(STEP_TIMEOUT_US / 4);
            match rng.below(16) {
                0 => successor.handle_timeout(now),
                1 if rng.below(3) == 0 => successor.handle_disconnect(),
                2 => successor.handle_predecessor_exit(),
                3..=8 => {
                    // The message that a predecessor would send next, so that handovers complete.
                    let message = match next_part {
                        0 => Message::Offer {
                            version: 1,
                            part_count: 1,
                        },
                        1 => Message::StatePart {
                            number: 0,
                            bytes: vec![1, 2, 3],
                        },
                        2 => Message::TransferOwnership(vec![9, 9]),
                        _ => Message::InFlightCompleted(vec![8]),
                    };
                    next_part += 1;
                    successor.handle_message(message, now);
                }
                9..=12 => {}
                _ if rng.below(3) > 0 => {}
                _ => successor.handle_message(any_message(&mut rng), now),
            }
            for action in successor.take_actions() {
                write_action(&mut hash, &action);
            }
            hash.number(successor.next_timeout().unwrap_or(u64::MAX));
            hash.number(u64::from(successor.is_owner()));
        }
    }
    assert_eq!(hash.0, 0xc18f_f6a7_fade_d73a, "{:#018x}", hash.0);
}

/// One message of each kind, with its name in the file of stored frames.
fn messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "hello",
            Message::Hello {
                min_version: 1,
                max_version: 300,
            },
        ),
        ("refuse-version", Message::Refuse(Refusal::NoCommonVersion)),
        ("refuse-taken", Message::Refuse(Refusal::HandoverInProgress)),
        ("refuse-leaving", Message::Refuse(Refusal::ShuttingDown)),
        (
            "offer",
            Message::Offer {
                version: 1,
                part_count: 70_000,
            },
        ),
        (
            "part",
            Message::StatePart {
                number: 4,
                bytes: vec![0, 1, 2, 253, 254, 255],
            },
        ),
        ("holds", Message::PartsReceived { next: 129 }),
        ("ready", Message::Ready),
        ("yours", Message::TransferOwnership(vec![7; 5])),
        ("ended", Message::InFlightCompleted(vec![1, 2])),
        ("done", Message::Drained),
    ]
}

fn encode(message: &Message) -> Vec<u8> {
    let (ours, mut theirs) = UnixStream::pair().unwrap();
    let connection = HandoverConnection::new(Async::new(ours).unwrap()).unwrap();
    async_io::block_on(connection.send(message, &[])).unwrap();
    drop(connection);
    let mut bytes = Vec::new();
    theirs.read_to_end(&mut bytes).unwrap();
    bytes
}

fn decode(bytes: &[u8]) -> Message {
    let (ours, mut theirs) = UnixStream::pair().unwrap();
    let mut connection = HandoverConnection::new(Async::new(ours).unwrap()).unwrap();
    theirs.write_all(bytes).unwrap();
    async_io::block_on(connection.receive())
        .unwrap()
        .unwrap()
        .message
}

#[test]
fn stored_frames_of_the_previous_release_decode_and_encode_unchanged() {
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let lines: String = messages()
        .iter()
        .map(|(name, message)| format!("{name} {}\n", hex(&encode(message))))
        .collect();
    let stored = include_str!("fixtures/frames.txt");
    assert_eq!(lines, stored, "\n{lines}");
    for ((_, message), line) in messages().iter().zip(stored.lines()) {
        let (name, digits) = line.split_once(' ').unwrap();
        let bytes: Vec<u8> = (0..digits.len() / 2)
            .map(|at| u8::from_str_radix(&digits[2 * at..2 * at + 2], 16).unwrap())
            .collect();
        let decoded = decode(&bytes);
        assert_eq!(&decoded, message, "{name}");
        assert_eq!(encode(&decoded), bytes, "{name}");
    }
}

//! Tests of saved states, intact and damaged.

use super::*;

#[test]
fn a_saved_state_is_read_completely_or_not_at_all() {
    let file = encode(b"some state");
    assert_eq!(decode(&file), Ok(b"some state".to_vec()));
    for cut in 0..file.len() {
        assert!(
            file.get(..cut).is_some_and(|part| decode(part).is_err()),
            "a file cut to {cut} bytes was accepted"
        );
    }
    for at in 0..file.len() {
        let mut flipped = file.clone();
        flipped
            .iter_mut()
            .skip(at)
            .take(1)
            .for_each(|byte| *byte ^= 1);
        assert!(
            decode(&flipped).is_err(),
            "a file with a flipped bit in byte {at} was accepted"
        );
    }
}

/// The format is fixed, so that files which other versions have saved can be read.
#[test]
fn a_saved_state_has_the_form_that_other_versions_read() {
    assert_eq!(encode(b"a"), b"VGSTATE1\x43\xbe\xb7\xe8a");
}

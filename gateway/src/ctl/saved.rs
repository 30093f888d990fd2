//! Files that hold a saved state: a seal, a checksum, and the state.

/// What a file with a saved state begins with; then come a checksum and the state.
const SEAL: &[u8; 8] = b"VGSTATE1";

pub(super) fn sealed(state: &[u8]) -> Vec<u8> {
    [SEAL, crc32fast::hash(state).to_le_bytes().as_slice(), state].concat()
}

pub(super) fn unsealed(bytes: &[u8]) -> Result<Vec<u8>, &'static str> {
    let rest = bytes.strip_prefix(SEAL).ok_or("this is no saved state")?;
    let (sum, state) = rest
        .split_first_chunk()
        .ok_or("this saved state is cut short")?;
    if crc32fast::hash(state) != u32::from_le_bytes(*sum) {
        return Err("this saved state is spoilt: its checksum is another one");
    }
    Ok(state.to_vec())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A saved state is believed whole or not at all.
    #[test]
    fn a_saved_state_is_believed_whole_or_not_at_all() {
        let file = sealed(b"some state");
        assert_eq!(unsealed(&file), Ok(b"some state".to_vec()));
        for cut in 0..file.len() {
            assert!(
                file.get(..cut).is_some_and(|part| unsealed(part).is_err()),
                "{cut}"
            );
        }
        for at in 0..file.len() {
            let mut bent = file.clone();
            bent.iter_mut().skip(at).take(1).for_each(|b| *b ^= 1);
            assert!(unsealed(&bent).is_err(), "{at}");
        }
    }
}

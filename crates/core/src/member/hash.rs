//! Hash functions whose results are the same in all processes.
//!
//! The hashers of the standard library may change between its versions.

/// Returns the FNV-1a hash of `text`, finalized so that every bit depends on every byte.
pub(super) fn hash_text(text: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash)
}

/// Mixes the bits of `value` (the finalizer of SplitMix64).
pub(super) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Folds a hash to the 32 bits that are sent in digests.
pub(super) fn fold_to_u32(hash: u64) -> u32 {
    (hash ^ (hash >> 32)) as u32
}

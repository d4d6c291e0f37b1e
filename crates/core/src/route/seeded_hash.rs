//! A seeded 64-bit hash that gives the same value in every process and release.

/// Returns the FNV-1a hash of `text` under `seed`, mixed by [`mix_seed`].
///
/// Rendezvous hashing needs the same value in all processes, which the standard library's hasher
/// does not guarantee across releases.
pub fn hash_text(seed: u64, text: &str) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let hash = text.bytes().fold(FNV_OFFSET ^ seed, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix_seed(hash)
}

/// Returns the SplitMix64 output for `seed`; successive seeds give unrelated values.
pub fn mix_seed(seed: u64) -> u64 {
    let value = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Maps a hash to `0..bound` without the bias of a remainder.
pub(super) fn scale_hash(hash: u64, bound: u64) -> u64 {
    ((u128::from(hash) * u128::from(bound)) >> 64) as u64
}

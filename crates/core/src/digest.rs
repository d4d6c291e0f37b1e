//! Digests of byte strings in several parts.

use sha2::Digest;
use sha2::Sha256;

use crate::hex::hex_text;

/// Returns the SHA-256 digest of several parts as hexadecimal digits.
///
/// Each part is preceded by its length, so that moving a boundary between parts changes the digest.
pub(crate) fn digest_parts(parts: &[&[u8]]) -> String {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    hex_text(&digest.finalize())
}

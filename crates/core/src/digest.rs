//! Digests of texts in parts.

use sha2::Digest;
use sha2::Sha256;

use crate::hex::hex_text;

/// Returns the SHA-256 of several parts in hexadecimal digits.
///
/// The lengths are part of it, so that parts that are cut at other places give another digest.
pub(crate) fn digest_parts(parts: &[&[u8]]) -> String {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    hex_text(&digest.finalize())
}

use sha2::Digest;
use sha2::Sha256;

use crate::hex::hex_text;

/// Returns the fingerprint by which a request is known when its caller sends it again: the SHA-256 of
/// client account, path and body in hexadecimal digits.
pub fn request_fingerprint(account: &str, path: &str, body: &[u8]) -> String {
    let mut digest = Sha256::new();
    // The lengths keep parts that are cut at other places from giving the same digest.
    for part in [account.as_bytes(), path.as_bytes(), body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    hex_text(&digest.finalize())
}

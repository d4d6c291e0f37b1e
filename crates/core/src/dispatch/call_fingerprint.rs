use sha2::Digest;
use sha2::Sha256;

use crate::hex::hex_text;

/// Returns the fingerprint of a call: the SHA-256 of method, path and body in hexadecimal digits.
pub fn call_fingerprint(method: &str, path: &str, body: &str) -> String {
    let mut digest = Sha256::new();
    // The lengths keep parts that are cut at other places from giving the same digest.
    for part in [method, path, body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    let digest = digest.finalize();
    hex_text(&digest)
}

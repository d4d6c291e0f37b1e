use crate::digest::digest_parts;

/// Returns the fingerprint that identifies equal requests of a client account: the SHA-256 of
/// account, path and body in hexadecimal digits.
pub fn request_fingerprint(account: &str, path: &str, body: &[u8]) -> String {
    digest_parts(&[account.as_bytes(), path.as_bytes(), body])
}

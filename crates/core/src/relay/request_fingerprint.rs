use crate::digest::digest_parts;

/// Returns the fingerprint by which a request is known when its caller sends it again: the SHA-256 of
/// client account, path and body in hexadecimal digits.
pub fn request_fingerprint(account: &str, path: &str, body: &[u8]) -> String {
    digest_parts(&[account.as_bytes(), path.as_bytes(), body])
}

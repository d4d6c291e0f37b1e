use crate::digest::digest_parts;

/// Returns the fingerprint of a call: the SHA-256 of method, path and body in hexadecimal digits.
pub fn call_fingerprint(method: &str, path: &str, body: &str) -> String {
    digest_parts(&[method.as_bytes(), path.as_bytes(), body.as_bytes()])
}

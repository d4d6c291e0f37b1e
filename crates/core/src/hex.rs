//! Hexadecimal encoding.

/// Encodes bytes as lower-case hexadecimal digits, two for each byte.
///
/// # Example
///
/// ```
/// assert_eq!(dandelionroad_core::hex::hex_text(&[0x0f, 0xa0]), "0fa0");
/// ```
pub fn hex_text(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

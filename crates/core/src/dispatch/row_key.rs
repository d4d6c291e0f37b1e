use serde::Deserialize;
use serde::Serialize;

use crate::hex::hex_text;
use crate::ident::AccountName;
use crate::ident::ServiceName;

/// The key of the row of one attempt of a call that is not idempotent.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RowKey {
    /// The client account; each account has its own idempotency keys.
    pub account: AccountName,
    /// The service that is called.
    pub service: ServiceName,
    /// The idempotency key that the caller chose, 1 to 200 visible ASCII characters.
    pub key: String,
    /// The attempt; a later one is allowed only after the one before it is void.
    pub attempt: u32,
}

impl RowKey {
    /// Returns the key of the row in the table service.
    ///
    /// The caller's key is encoded so that it can't contain a separator.
    pub fn table_key(&self) -> String {
        format!(
            "call/{}/{}/{}/{}",
            self.account,
            self.service,
            hex_text(self.key.as_bytes()),
            self.attempt
        )
    }

    /// Returns the key of the previous attempt, or `None` for attempt 0.
    pub fn previous(&self) -> Option<RowKey> {
        let attempt = self.attempt.checked_sub(1)?;
        Some(RowKey {
            attempt,
            ..self.clone()
        })
    }
}

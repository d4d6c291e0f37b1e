use std::str::FromStr;

/// A kind of request in a load test.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LoadKind {
    /// `POST /services/{service}/book` with a new idempotency key.
    Booking,
    /// `POST /v1/chat/completions` with a streamed answer.
    Chat,
    /// `POST /v1/completions` with a streamed answer.
    Completion,
    /// `GET /services/{service}/stock/hawser`.
    Stock,
}

impl LoadKind {
    /// Returns the name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            LoadKind::Booking => "booking",
            LoadKind::Chat => "chat",
            LoadKind::Completion => "completion",
            LoadKind::Stock => "stock",
        }
    }
}

impl FromStr for LoadKind {
    type Err = String;

    fn from_str(text: &str) -> Result<LoadKind, String> {
        match text {
            "booking" => Ok(LoadKind::Booking),
            "chat" => Ok(LoadKind::Chat),
            "completion" => Ok(LoadKind::Completion),
            "stock" => Ok(LoadKind::Stock),
            _ => Err(format!(
                "unknown kind {text:?}; use chat, completion, stock or booking"
            )),
        }
    }
}

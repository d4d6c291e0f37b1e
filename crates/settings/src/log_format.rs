/// The form of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Time, level and sentence.
    Text,
}

impl LogFormat {
    pub(crate) const CHOICES: &[(&str, LogFormat)] =
        &[("json", LogFormat::Json), ("text", LogFormat::Text)];
}

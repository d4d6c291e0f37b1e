use std::fmt;

use serde_json::Value;

/// A log line of an entry, in the JSON log format.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    /// The name of the file from which the line was read.
    source: String,
    /// The time at which the line was written, in milliseconds since the Unix epoch.
    pub(crate) timestamp: u64,
    /// The complete JSON object.
    pub(crate) document: Value,
}

impl LogLine {
    /// Parses a line; text that a log collector put before the JSON object is skipped.
    ///
    /// Returns `None` if the line is not a log line.
    pub(crate) fn parse(source: &str, line: &str) -> Option<LogLine> {
        let document: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
        Some(LogLine {
            source: source.to_owned(),
            timestamp: document["timestamp"].as_u64()?,
            document,
        })
    }

    /// Returns the identifier of the request that the line is about.
    pub(crate) fn request(&self) -> Option<&str> {
        self.document["kv"]["request"].as_str()
    }

    /// Returns the identifier of the engine that the line is about.
    pub(crate) fn engine(&self) -> Option<&str> {
        self.document["kv"]["engine"].as_str()
    }

    /// Returns the engines to which the request of the line was sent.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &str> {
        let engines = self.document["kv"]["engines"].as_str().unwrap_or_default();
        engines
            .split(['+', ';'])
            .filter(|engine| !engine.is_empty())
    }

    /// Returns the time at which the request of the line arrived, in milliseconds since the Unix
    /// epoch.
    ///
    /// An entry logs a request at its end, with its duration in the field `whole_ms`. For a line
    /// without this field, returns the time of the line.
    pub(crate) fn request_start_ms(&self) -> u64 {
        let whole_ms = self.document["kv"]["whole_ms"].as_u64().unwrap_or(0);
        self.timestamp.saturating_sub(whole_ms)
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let payload = self.document["payload"].as_str().unwrap_or_default();
        write!(formatter, "{} {} {payload}", self.timestamp, self.source)?;
        let fields = self.document["kv"].as_object();
        for (name, value) in fields.into_iter().flatten() {
            write!(formatter, " {name}={value}")?;
        }
        Ok(())
    }
}

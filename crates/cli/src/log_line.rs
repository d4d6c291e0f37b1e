use std::fmt;

use serde_json::Value;

/// A log line of an entry.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    /// The file that it was read from.
    source: String,
    /// When it was written, in milliseconds since 1970.
    pub(crate) timestamp: u64,
    /// The whole line.
    pub(crate) document: Value,
}

impl LogLine {
    /// Reads a line; a collector may have put text before the JSON object.
    pub(crate) fn parse(source: &str, line: &str) -> Option<LogLine> {
        let document: Value = serde_json::from_str(&line[line.find('{')?..]).ok()?;
        Some(LogLine {
            source: source.to_owned(),
            timestamp: document["timestamp"].as_u64()?,
            document,
        })
    }

    /// Returns the identifier of the request that it is about.
    pub(crate) fn request(&self) -> Option<&str> {
        self.document["kv"]["request"].as_str()
    }

    /// Returns the identifier of the engine that it is about.
    pub(crate) fn engine(&self) -> Option<&str> {
        self.document["kv"]["engine"].as_str()
    }

    /// Returns the engines to which its request was sent.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &str> {
        let engines = self.document["kv"]["engines"].as_str().unwrap_or_default();
        engines
            .split(['+', ';'])
            .filter(|engine| !engine.is_empty())
    }

    /// Returns when its request arrived; a line about a request is written at its end.
    pub(crate) fn begun_ms(&self) -> u64 {
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

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::ClientFuture;
use crate::PlatformError;
use crate::http_answer::HttpAnswer;
use crate::http_link::HttpLink;
use crate::http_link::encode_segment;

use super::CommitReply;
use super::TableClient;
use super::TableCommit;
use super::TableRow;

/// A [`TableClient`] over HTTP with JSON bodies.
pub struct HttpTable {
    link: HttpLink,
}

#[derive(Deserialize)]
struct VersionedValue {
    version: u64,
    value: String,
}

#[derive(Deserialize)]
struct ConflictBody {
    key: String,
}

impl HttpTable {
    /// Creates a client of the table service at `base_url` whose calls fail after `deadline`.
    pub fn new(base_url: &str, deadline: Duration) -> HttpTable {
        HttpTable {
            link: HttpLink::new("the table service", base_url, deadline),
        }
    }

    fn parse<T: DeserializeOwned>(&self, answer: &HttpAnswer) -> Result<T, PlatformError> {
        serde_json::from_slice(&answer.body)
            .map_err(|error| self.link.invalid_message_error(&error.to_string()))
    }

    async fn send_commit(&self, commit: &TableCommit) -> Result<CommitReply, PlatformError> {
        let body = serde_json::to_vec(commit);
        let body = body.map_err(|error| self.link.invalid_message_error(&error.to_string()))?;
        let headers = [("content-type", "application/json")];
        let call = self
            .link
            .send("POST", "/table/commit", &headers, Bytes::from(body));
        let answer = call.await?;
        match answer.status {
            200 => Ok(CommitReply::Committed),
            409 => {
                let ConflictBody { key } = self.parse(&answer)?;
                Ok(CommitReply::Conflict { key })
            }
            _ => Err(self.link.rejected_error(&answer)),
        }
    }

    async fn send_read(&self, key: &str) -> Result<Option<TableRow>, PlatformError> {
        let path = format!("/table/row/{}", encode_segment(key));
        let answer = self.link.send("GET", &path, &[], Bytes::new()).await?;
        match answer.status {
            200 => {
                let VersionedValue { version, value } = self.parse(&answer)?;
                Ok(Some(TableRow {
                    key: key.to_owned(),
                    version,
                    value,
                }))
            }
            404 => Ok(None),
            _ => Err(self.link.rejected_error(&answer)),
        }
    }

    async fn send_scan(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<TableRow>, PlatformError> {
        let prefix = encode_segment(prefix);
        let after = encode_segment(after);
        let path = format!("/table/scan?prefix={prefix}&after={after}&limit={limit}");
        let answer = self.link.send("GET", &path, &[], Bytes::new()).await?;
        match answer.status {
            200 => self.parse(&answer),
            _ => Err(self.link.rejected_error(&answer)),
        }
    }
}

impl TableClient for HttpTable {
    fn commit<'a>(&'a self, commit: &'a TableCommit) -> ClientFuture<'a, CommitReply> {
        Box::pin(self.send_commit(commit))
    }

    fn read<'a>(&'a self, key: &'a str) -> ClientFuture<'a, Option<TableRow>> {
        Box::pin(self.send_read(key))
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: u32,
    ) -> ClientFuture<'a, Vec<TableRow>> {
        Box::pin(self.send_scan(prefix, after, limit))
    }
}

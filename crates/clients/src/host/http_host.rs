use std::time::Duration;

use bytes::Bytes;

use crate::ClientFuture;
use crate::PlatformError;
use crate::http_link::HttpLink;

use super::HostClient;
use super::HostEntry;

/// A [`HostClient`] over HTTP with JSON bodies.
pub struct HttpHost {
    link: HttpLink,
}

impl HttpHost {
    /// Creates a client of the host list at `base_url` whose calls fail after `deadline`.
    pub fn new(base_url: &str, deadline: Duration) -> HttpHost {
        HttpHost {
            link: HttpLink::new("the host list", base_url, deadline),
        }
    }

    async fn send_list(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let answer = self.link.send("GET", "/hosts", &[], Bytes::new()).await?;
        if answer.status != 200 {
            return Err(self.link.rejected_error(&answer));
        }
        serde_json::from_slice(&answer.body)
            .map_err(|error| self.link.invalid_message_error(&error.to_string()))
    }
}

impl HostClient for HttpHost {
    fn list(&self) -> ClientFuture<'_, Vec<HostEntry>> {
        Box::pin(self.send_list())
    }
}

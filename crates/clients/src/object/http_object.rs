use std::time::Duration;

use bytes::Bytes;

use crate::ClientFuture;
use crate::PlatformError;
use crate::http_link::HttpLink;
use crate::http_link::encode_segment;

use super::ObjectClient;

/// An [`ObjectClient`] over HTTP.
pub struct HttpObject {
    link: HttpLink,
}

impl HttpObject {
    /// Creates a client of the object store at `base_url` whose calls fail after `deadline`.
    pub fn new(base_url: &str, deadline: Duration) -> HttpObject {
        HttpObject {
            link: HttpLink::new("the object store", base_url, deadline),
        }
    }

    async fn send_put(&self, key: &str, content: Bytes) -> Result<(), PlatformError> {
        let path = object_path(key);
        let answer = self.link.send("PUT", &path, &[], content).await?;
        match answer.status {
            200 | 201 | 204 => Ok(()),
            _ => Err(self.link.rejected_error(&answer)),
        }
    }

    async fn send_get(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let path = object_path(key);
        let answer = self.link.send("GET", &path, &[], Bytes::new()).await?;
        match answer.status {
            200 => Ok(Some(answer.body)),
            404 => Ok(None),
            _ => Err(self.link.rejected_error(&answer)),
        }
    }
}

impl ObjectClient for HttpObject {
    fn put<'a>(&'a self, key: &'a str, content: Bytes) -> ClientFuture<'a, ()> {
        Box::pin(self.send_put(key, content))
    }

    fn get<'a>(&'a self, key: &'a str) -> ClientFuture<'a, Option<Bytes>> {
        Box::pin(self.send_get(key))
    }
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", encode_segment(key))
}

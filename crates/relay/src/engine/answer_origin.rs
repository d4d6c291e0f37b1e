use hyper_util::client::legacy::connect::CaptureConnection;

/// The connection from which a response came, an extension of the response.
#[derive(Clone, Debug)]
pub struct AnswerOrigin {
    is_first: bool,
    connection: CaptureConnection,
}

impl AnswerOrigin {
    pub(super) fn new(is_first: bool, connection: CaptureConnection) -> AnswerOrigin {
        AnswerOrigin {
            is_first,
            connection,
        }
    }

    /// Returns whether the response is the first one on its connection, so that it can't be the response to an
    /// earlier request.
    pub fn is_first(&self) -> bool {
        self.is_first
    }

    /// Keeps the connection from being used for another request.
    ///
    /// An engine that has sent the response to another request may send the right one next.
    pub fn discard_connection(&self) {
        if let Some(connected) = self.connection.connection_metadata().as_ref() {
            connected.poison();
        }
    }
}

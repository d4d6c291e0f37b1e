/// A server-sent event.
pub(super) struct ServerEvent {
    /// The event type, or an empty string if the event has none.
    pub(super) name: String,
    pub(super) data: String,
}

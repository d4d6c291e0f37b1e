/// One server-sent event.
pub(super) struct ReadEvent {
    /// The name, empty for an ordinary event.
    pub(super) name: String,
    /// The data.
    pub(super) data: String,
}

/// The result of a look for engine capacity.
pub(super) enum CapacitySearch<T> {
    /// Engines with room.
    Found(T),
    /// No engine has room for the request, and none would have for another one like it.
    Short,
    /// Engines have room, but not for this request, as they have refused it or failed it before.
    Unsuitable,
}

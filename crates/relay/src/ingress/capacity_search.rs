/// The result of a look for engine capacity.
pub(super) enum CapacitySearch<T> {
    /// Engines with room.
    Found(T),
    /// No engine has room for the request, and none would have for another one like it.
    Short,
    /// Engines have room by the estimates, but have refused the request or one like it, or have failed it before.
    Unsuitable,
}

//! Places at which the encoding of the tests can be made to panic.

use std::cell::Cell;

thread_local! {
    /// The place at which the encoding panics, if any.
    static PANIC_POINT: Cell<Option<PanicPoint>> = const { Cell::new(None) };
}

/// A place at which the encoding can be made to panic, in the background task that is named after it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PanicPoint {
    Config,
    Listing,
    Orders,
    Peers,
}

/// Makes the encoding panic at a place from now on, on this thread; `None` ends that.
pub(crate) fn set_panic_point(point: Option<PanicPoint>) {
    PANIC_POINT.set(point);
}

/// Panics if the test has requested it for this place.
pub(crate) fn check_panic(point: PanicPoint) {
    assert_ne!(PANIC_POINT.get(), Some(point), "requested by the test");
}

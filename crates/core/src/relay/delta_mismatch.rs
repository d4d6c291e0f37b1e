use snafu::Snafu;

/// The error of a [`ListingDelta`](super::ListingDelta) that does not fit the held list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the changes don't lead to the reported list; fetch the whole list"))]
pub struct DeltaMismatch;

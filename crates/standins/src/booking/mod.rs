/*!
The stand-in for a plain service whose calls must not be repeated: a booking service.

Every call of `POST /book` that takes effect counts as a run under its idempotency key, so that a
test can prove that no booking ran twice.
*/

mod booking_standin;

pub use self::booking_standin::BookingStandin;

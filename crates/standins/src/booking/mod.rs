/*!
The booking service, a plain service whose bookings may not be repeated.
*/

mod booking_standin;

pub use self::booking_standin::BookingStandin;

/*!
The platform's list of live and leaving hosts.
*/

mod host_standin;

pub use self::host_standin::HostStandin;

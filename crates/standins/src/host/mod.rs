/*!
The stand-in for the platform's host list, which names the live and the leaving hosts.
*/

mod host_standin;

pub use self::host_standin::HostStandin;

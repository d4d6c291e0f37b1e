/*!
The stand-in for the platform's host list, which lists the processes on live and leaving hosts.
*/

mod host_standin;

pub use self::host_standin::HostStandin;

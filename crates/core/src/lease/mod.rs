/*!
Leases, which elect one process at a time for a task.

A lease is a row in the store that names its holder and an expiry. Processes acquire and renew it by
conditional writes, so that of several processes that see an expired lease only one acquires it.
[`LeaseHolder`] decides when to write and how long a process may act as the holder, also when it is
paused or an answer of the store is lost.
*/

mod lease_holder;
mod lease_row;
mod lease_step;

pub use self::lease_holder::LeaseHolder;
pub use self::lease_row::LeaseRow;
pub use self::lease_step::LeaseStep;

/*!
The right of one process at a time to do a task, as a row of the store that is changed under a
condition.
*/

mod lease_holder;
mod lease_row;
mod lease_step;

pub use self::lease_holder::LeaseHolder;
pub use self::lease_row::LeaseRow;
pub use self::lease_step::LeaseStep;

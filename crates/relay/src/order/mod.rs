/*!
Orders to model engines, given by one process at a time.
*/

mod lease_task;
mod order_task;
mod pending_order;

pub use self::order_task::run_orders;

/*!
Placement orders to model engines, sent by one process at a time.

Engines start without layers. The process that holds a lease in the store plans which layers each engine
loads, from the list of engines, and sends the orders. The lease keeps two processes from sending
conflicting orders; each order also carries the number of orders that the engine has accepted so far as a
precondition, so that an engine rejects a late order of an earlier lease holder.
*/

mod lease_task;
mod order_task;
mod pending_order;

pub use self::order_task::run_orders;

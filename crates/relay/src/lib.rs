/*!
The entry of dandelionroad for engines that hand requests on among themselves, and for plain
services that have no process of dandelionroad beside them.

All decisions are in `dandelionroad-core`; this crate carries them out on one thread. What a
deployment's protocols call things is known to its [`wire::WireFormat`] alone.
*/

mod crash_report;
pub mod engine;
pub mod ingress;
mod internal_server;
pub mod node;
pub mod order;
pub mod peer;
pub mod store;
pub mod telemetry;
pub mod wire;

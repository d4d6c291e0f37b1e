/*!
The relay: an entry process for engines that forward activations among themselves, and for plain
services that have no endpoint process of dandelionroad next to them.

A relay accepts callers' requests, picks a chain of engines or an endpoint, forwards the request and
streams the response back. The relay processes of a deployment coordinate by datagrams and through the
deployment's store.

All decisions are made in `dandelionroad-core`; this crate carries them out on one thread. The encoding
of a deployment's protocols is confined to its [`wire::WireFormat`].
*/

mod crash_report;
pub mod engine;
pub mod ingress;
mod internal_server;
pub mod memory;
pub mod node;
pub mod order;
pub mod peer;
pub mod store;
pub mod telemetry;
pub mod wire;

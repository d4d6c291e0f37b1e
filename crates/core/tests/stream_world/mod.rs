//! A simulation of stages, an entry and a network that drops, duplicates, delays and reorders
//! messages.

mod sim_actions;
mod sim_delivery;
mod sim_engine;
mod sim_packet;
mod sim_stage;
mod sim_world;

pub(crate) use self::sim_world::SimWorld;

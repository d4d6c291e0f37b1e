//! Stages, an entry and a network that loses, repeats, delays and crosses messages.

mod sim_actions;
mod sim_delivery;
mod sim_engine;
mod sim_flight;
mod sim_stage;
mod sim_world;

pub(crate) use self::sim_world::SimWorld;

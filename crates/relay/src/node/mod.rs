/*!
A relay process: its settings, its clock, the state that its tasks share, and its start and stop.

All tasks run on one thread, so they share [`NodeState`] through cells, without locks. A stopping
process first reports that it isn't ready, then closes its connections as their requests end, and cuts
the last ones at the stop deadline.
*/

mod boot_clock;
mod node_state;
mod relay_bounds;
mod relay_settings;
mod relay_view;
mod run_node;
mod running_node;
mod task_supervisor;

pub use self::boot_clock::BootClock;
pub use self::node_state::NodeState;
pub use self::relay_bounds::RelayBounds;
pub use self::relay_settings::RelaySettings;
pub use self::relay_view::RelayView;
pub use self::run_node::run_node;
pub use self::running_node::RunningNode;

/*!
The command line of the binary `dandelion-standins`: its stand-ins with their control listener, and
the load generator.
*/

mod serve_options;
mod standin_set;
mod standins_action;
mod standins_command;

pub use self::serve_options::ServeOptions;
pub use self::standin_set::StandinSet;
pub use self::standins_action::StandinsAction;
pub use self::standins_command::StandinsCommand;

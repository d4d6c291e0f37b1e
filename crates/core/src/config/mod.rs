/*!
Configuration objects and numbered change tickets.
*/

mod account_spec;
mod change_ticket;
mod config_state;
mod model_spec;
mod object_kind;
mod object_ref;
mod pool_member;
mod pool_spec;
mod service_spec;

pub use self::account_spec::AccountSpec;
pub use self::change_ticket::ChangeTicket;
pub use self::config_state::ConfigState;
pub use self::model_spec::ModelSpec;
pub use self::object_kind::ObjectKind;
pub use self::object_ref::ObjectRef;
pub use self::pool_member::PoolMember;
pub use self::pool_spec::PoolSpec;
pub use self::service_spec::ServiceSpec;

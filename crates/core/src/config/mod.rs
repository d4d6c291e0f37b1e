/*!
Configuration objects, and the numbered change tickets by which operators change them.

A [`ChangeTicket`] carries the complete new state of every object that it changes. A
[`TicketMachine`] checks a submitted ticket and commits it to the table service as one transaction, a
[`CommitPlan`]. Each committed ticket creates one revision of the configuration; a compare-and-set on
the revision row orders all tickets, also those that different entries commit at the same time.

Every process holds a [`ConfigState`], and processes exchange a [`ConfigDelta`]: all objects that
changed after a given revision. Each object has an [`ObjectMark`], the ticket and revision that last
changed it, so that neither a late ticket with a lower number nor an old delta reverts the object.
*/

mod account_spec;
mod change_ticket;
mod commit_check;
mod commit_plan;
mod commit_write;
mod config_delta;
mod config_object;
mod config_state;
mod log_record;
mod model_spec;
mod object_change;
mod object_kind;
mod object_mark;
mod object_ref;
mod pool_check;
mod pool_member;
mod pool_spec;
pub mod row_keys;
mod service_spec;
mod stored_row;
mod ticket_action;
mod ticket_check;
mod ticket_event;
mod ticket_fault;
mod ticket_machine;
mod ticket_parser;
mod ticket_record;
mod ticket_verdict;

pub use self::account_spec::AccountSpec;
pub use self::change_ticket::ChangeTicket;
pub use self::commit_check::CommitCheck;
pub use self::commit_plan::CommitPlan;
pub use self::commit_write::CommitWrite;
pub use self::config_delta::ConfigDelta;
pub use self::config_object::ConfigObject;
pub use self::config_state::ConfigState;
pub use self::log_record::LogRecord;
pub use self::model_spec::ModelSpec;
pub use self::object_change::ObjectChange;
pub use self::object_kind::ObjectKind;
pub use self::object_mark::ObjectMark;
pub use self::object_ref::ObjectRef;
pub use self::pool_member::PoolMember;
pub use self::pool_spec::PoolSpec;
pub use self::service_spec::ServiceSpec;
pub use self::stored_row::StoredRow;
pub use self::ticket_action::TicketAction;
pub use self::ticket_check::check_ticket;
pub use self::ticket_event::TicketEvent;
pub use self::ticket_fault::TicketFault;
pub use self::ticket_machine::TicketMachine;
pub use self::ticket_record::TicketRecord;
pub use self::ticket_verdict::TicketVerdict;

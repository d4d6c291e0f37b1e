/*!
Membership: who takes part, where it is reached, and whether it is leaving.
*/

mod held_model;
mod member_record;
mod member_role;
mod member_state;
mod member_table;

pub use self::held_model::HeldModel;
pub use self::member_record::MemberRecord;
pub use self::member_role::MemberRole;
pub use self::member_state::MemberState;
pub use self::member_table::MemberTable;

/*!
Membership: who takes part, where it is reached, and whether it is leaving; and the gossip that
spreads membership, configuration and crash counts.
*/

mod crash_record;
mod crash_table;
mod gossip_action;
mod gossip_digest;
mod gossip_event;
mod gossip_machine;
mod gossip_message;
mod gossip_news;
mod gossip_repair;
mod hash;
mod held_model;
mod host_listing;
mod member_record;
mod member_role;
mod member_state;
mod member_table;
mod probe_ledger;
mod range_hash;
mod ring_overlay;
mod suspicion;

pub use self::crash_record::CrashRecord;
pub use self::crash_table::CrashTable;
pub use self::gossip_action::GossipAction;
pub use self::gossip_digest::GossipDigest;
pub use self::gossip_event::GossipEvent;
pub use self::gossip_machine::GossipMachine;
pub use self::gossip_message::GossipMessage;
pub use self::held_model::HeldModel;
pub use self::host_listing::HostListing;
pub use self::member_record::MemberRecord;
pub use self::member_role::MemberRole;
pub use self::member_state::MemberState;
pub use self::member_table::MemberTable;
pub use self::range_hash::RangeHash;
pub use self::ring_overlay::RingOverlay;
pub use self::suspicion::Suspicion;

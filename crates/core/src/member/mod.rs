/*!
Membership, and the gossip protocol that replicates membership, configuration and crash counts.

Every process holds a full copy of the three. [`GossipMachine`] keeps the copies consistent without
a coordinator; it is a state machine without I/O that turns events into actions.

- Dissemination: a process pushes each change at once to its successors on four hash rings
  ([`RingOverlay`]), and a receiver for which the change is new pushes it on.
- Anti-entropy: each second a process exchanges a digest with one successor and repairs any
  difference, so that a lost message only delays a change. A hash tree over the member table
  ([`MemberTable`]) limits a repair to the ranges that differ.
- Failure detection, as in SWIM: each second a process probes up to three members. A member that
  misses three probes in a row is suspected, and is declared gone unless it refutes the suspicion
  with a higher incarnation.

While nothing changes, a process sends one digest and three probes a second, whatever the number of
members. The platform's host list lags, so that it only adds members and marks them as leaving.
*/

mod crash_record;
mod crash_table;
mod gossip_action;
mod gossip_digest;
mod gossip_event;
mod gossip_machine;
mod gossip_message;
mod gossip_repair;
mod gossip_update;
mod hash;
mod held_model;
mod host_listing;
mod member_record;
mod member_role;
mod member_state;
mod member_table;
mod probe_tracker;
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

//! Order and digest of a list of engines.

use std::borrow::Borrow;

use crate::route::hash_text;

use super::EngineRecord;

/// Returns the records sorted by identifier, without duplicates.
pub(super) fn sort_records<R: Borrow<EngineRecord>>(mut records: Vec<R>) -> Vec<R> {
    records.sort_by(|left, right| left.borrow().id.cmp(&right.borrow().id));
    records.dedup_by(|left, right| (*left).borrow().id == (*right).borrow().id);
    records
}

/// Returns the digest of sorted records.
pub(super) fn listing_digest<'r>(records: impl Iterator<Item = &'r EngineRecord>) -> u64 {
    records.fold(0, |digest, record| {
        let layers = record.layers;
        let text = format!(
            "{} {} {} {} {} {} {:?} {}-{} {}",
            record.id,
            record.service,
            record.address,
            record.zone,
            record.is_draining,
            record.slots,
            record.kind,
            layers.first,
            layers.end,
            record.started_ms,
        );
        hash_text(digest, &text)
    })
}

use dandelionroad_core::relay::StoreVersion;

use crate::node::NodeState;
use crate::peer::is_store_reader;
use crate::wire::StoreReply;
use crate::wire::StoreRow;
use crate::wire::StoreTable;
use crate::wire::StoreWrite;

use super::StoreClient;

/// The time for which an era must have been settled before it is noted, in milliseconds.
///
/// Processes that start together find out meanwhile which one of them is the store reader.
const NOTE_DELAY_MS: u64 = 1_000;

/// The key of the row that names the era.
const ROW_KEY: &str = "settled";

/// The note in the store that no rows of an era are missing any more.
///
/// The store reader writes it once it has seen the era for long enough. A copy that the store comes back from holds the
/// note of an earlier era, so a process that starts and finds the present one needn't wait until it has seen the era for as
/// long itself.
#[derive(Debug, Default)]
pub(super) struct SettledEra {
    /// The era that the row names, as far as this process knows.
    noted: Option<u64>,
    is_read: bool,
}

impl SettledEra {
    /// Reads the note if rows may be missing in the first era that this process sees; the era counts as settled if the
    /// note names it.
    ///
    /// The note is read once. Without it, the process waits.
    pub(super) async fn learn(&mut self, state: &NodeState, store: &StoreClient) {
        let is_needed = {
            let view = state.view.borrow();
            view.era.is_first() && view.era.is_settling(state.clock.now())
        };
        if !is_needed || std::mem::replace(&mut self.is_read, true) {
            return;
        }
        let rows = match store.read(StoreTable::Eras).await {
            Ok((rows, _, _)) => rows,
            Err(error) => {
                spdlog::warn!("store: can't read which era is settled, waiting instead: {error}");
                return;
            }
        };
        self.noted = rows.iter().find_map(decode_era);
        if let Some(era) = self.noted {
            state.view.borrow_mut().era.settle(era);
        }
        let is_settling = state.view.borrow().era.is_settling(state.clock.now());
        spdlog::info!("store: first answer", kv: {
            noted_era = self.noted.unwrap_or_default(),
            settling = is_settling,
        });
    }

    /// Writes the note after a read of the store that has shown the configuration to be the newest, if this process reads
    /// the store for the others and has not seen it there.
    pub(super) async fn note(
        &mut self,
        state: &NodeState,
        store: &StoreClient,
        version: StoreVersion,
    ) {
        if !version.names_era() || self.noted == Some(version.era()) {
            return;
        }
        let settled_ms = state.view.borrow().era.settled_ms(state.clock.now());
        if settled_ms < NOTE_DELAY_MS || !is_store_reader(state) {
            return;
        }
        let write = StoreWrite {
            table: StoreTable::Eras,
            key: ROW_KEY.to_owned(),
            value: version.era().to_string().into_bytes(),
            expected_version: None,
        };
        match store.write(write).await {
            Ok(StoreReply::Written { .. }) => {
                self.noted = Some(version.era());
                spdlog::info!("store: era settled", kv: { era = version.era() });
            }
            Ok(other) => spdlog::warn!(
                "store: can't note that the era is settled, retrying: unexpected reply {other:?}"
            ),
            Err(error) => {
                spdlog::warn!("store: can't note that the era is settled, retrying: {error}")
            }
        }
    }
}

/// Decodes the row that names the era; `None` for another row or a malformed one.
fn decode_era(row: &StoreRow) -> Option<u64> {
    let value = row.value.as_deref().filter(|_| row.key == ROW_KEY)?;
    std::str::from_utf8(value).ok()?.parse().ok()
}

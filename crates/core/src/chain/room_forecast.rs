//! The time until engines are expected to have room for a request.

use crate::relay::EngineEntry;

use super::ChainFinder;
use super::FinderRequest;
use super::RoomShortage;

/// The interval at which the free memory is divided among the processes, in milliseconds.
const DIVISION_MS: f64 = 100.0;

/// The time for which an engine that turned a request away is expected to be full, in milliseconds.
const REFUSAL_MS: f64 = 500.0;

impl ChainFinder<'_> {
    /// Returns the time until some availability zone is expected to have room for a request, in milliseconds;
    /// `None` if no zone has a usable engine for each layer.
    ///
    /// Load: engines that are full for the moment. The queue of prompts at an engine shrinks as time passes, and
    /// memory and slots are released at the rate of its running requests, each of which takes `run_ms` milliseconds.
    pub fn room_wait_ms(&self, request: &FinderRequest<'_>, run_ms: f64) -> Option<f64> {
        let reserved_tokens = self.reserved_per_engine(request);
        let usable = self
            .engines()
            .filter(|entry| self.is_eligible(entry, request));
        let waits: Vec<(&EngineEntry, f64)> = usable
            .map(|entry| {
                let wait_ms = match self.candidate(entry, request, reserved_tokens) {
                    // Only the first engine of a chain needs a slot.
                    Ok(candidate) if candidate.has_free_slot || entry.record.layers.first > 0 => {
                        0.0
                    }
                    Ok(_) => slot_wait_ms(entry, run_ms),
                    Err(shortage) => room_wait_ms(entry, shortage, run_ms),
                };
                (entry, wait_ms)
            })
            .collect();
        let zones = self.zones().into_iter();
        let waits = zones.filter_map(|zone| self.zone_room_wait_ms(zone, &waits));
        waits.min_by(f64::total_cmp)
    }

    /// Returns the longest of the waits for the layers of a zone, each at the engine that has room first.
    fn zone_room_wait_ms(&self, zone: &str, waits: &[(&EngineEntry, f64)]) -> Option<f64> {
        let mut longest_ms = 0.0_f64;
        let mut layer = 0;
        while layer < self.shape().layers {
            let holders = waits.iter().filter(|(entry, _)| {
                let layers = entry.record.layers;
                entry.record.zone == zone && layers.first <= layer && layer < layers.end
            });
            let first = holders.min_by(|left, right| left.1.total_cmp(&right.1))?;
            longest_ms = longest_ms.max(first.1);
            // The layers up to its end wait no longer than this one, or for another engine that has room earlier.
            layer = first.0.record.layers.end;
        }
        Some(longest_ms)
    }
}

/// Returns the time until an engine is expected to have what it lacks, in milliseconds.
fn room_wait_ms(entry: &EngineEntry, shortage: RoomShortage, run_ms: f64) -> f64 {
    match shortage {
        RoomShortage::Prefill { excess_ms } => excess_ms,
        RoomShortage::Memory { missing_units } => {
            let released_per_ms = entry.units() / run_ms.max(1.0);
            missing_units / released_per_ms.max(f64::MIN_POSITIVE)
        }
        RoomShortage::Share => DIVISION_MS,
        RoomShortage::Refused => REFUSAL_MS,
    }
}

/// Returns the time until the first of an engine's requests is expected to end, in milliseconds.
///
/// The remaining times of the requests are spread evenly over a run.
fn slot_wait_ms(entry: &EngineEntry, run_ms: f64) -> f64 {
    run_ms / (f64::from(entry.requests()) + 1.0)
}

use crate::ident::EndpointName;
use crate::time::MilliTime;

use super::seeded_hash::hash_text;

/// The maximum load of an endpoint that is chosen for a prefix, in percent of the mean load.
///
/// The common factor for consistent hashing with bounded loads.
const LOAD_BOUND_PERCENT: f64 = 125.0;

/// The time after which a cache hint expires, in milliseconds.
const HINT_TTL_MS: u64 = 60_000;

/// The maximum number of cache hints.
const MAX_HINTS: usize = 4_096;

/// A hint that an endpoint holds a prefix in its cache, from the last event of the engine.
#[derive(Clone, Debug)]
struct CacheHint {
    prefix: u64,
    endpoint: EndpointName,
    seen_at: MilliTime,
}

/// Picks an endpoint that probably holds the prefix of a prompt in its cache.
///
/// Rendezvous hashing ranks the endpoints for each prefix, and the first one whose load is within
/// the bound is chosen. Cache events arrive late and with gaps, so a hint only moves an endpoint to
/// the front of the ranking and its absence never excludes one.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    /// Sorted by prefix and endpoint.
    hints: Vec<CacheHint>,
}

impl PrefixIndex {
    /// Creates an index without hints.
    pub fn new() -> PrefixIndex {
        PrefixIndex::default()
    }

    /// Returns the hash of a prompt's prefix for a client account and model.
    pub fn key(account: &str, model: &str, prefix: &str) -> u64 {
        hash_text(hash_text(hash_text(0, account), model), prefix)
    }

    /// Records an event that `endpoint` stored a prefix in its cache or evicted it.
    pub fn record_cache_event(
        &mut self,
        prefix: u64,
        endpoint: &EndpointName,
        is_stored: bool,
        now: MilliTime,
    ) {
        let found = self
            .hints
            .binary_search_by(|hint| (hint.prefix, &hint.endpoint).cmp(&(prefix, endpoint)));
        match (found, is_stored) {
            (Ok(index), true) => self.hints[index].seen_at = now,
            (Ok(index), false) => {
                self.hints.remove(index);
            }
            (Err(index), true) => {
                let hint = CacheHint {
                    prefix,
                    endpoint: endpoint.clone(),
                    seen_at: now,
                };
                self.hints.insert(index, hint);
                self.evict_hints(now);
            }
            (Err(_), false) => {}
        }
    }

    /// Chooses an endpoint for `prefix` among candidates with their loads.
    ///
    /// Loads may have any unit that is comparable between the candidates, for example the expected
    /// completion time. Endpoints with an infinite load are never chosen.
    pub fn choose<'a>(
        &self,
        prefix: u64,
        candidates: &[(&'a EndpointName, f64)],
        now: MilliTime,
    ) -> Option<&'a EndpointName> {
        let finite = candidates.iter().filter(|(_, load)| load.is_finite());
        let (count, sum) = finite.fold((0.0, 0.0), |(count, sum), (_, load)| {
            (count + 1.0, sum + load)
        });
        let bound = sum / count * LOAD_BOUND_PERCENT / 100.0;
        let rank = |endpoint: &EndpointName| {
            let is_hinted = self.is_hinted(prefix, endpoint, now);
            (is_hinted, hash_text(prefix, endpoint.as_str()))
        };
        candidates
            .iter()
            .filter(|(_, load)| load.is_finite() && *load <= bound)
            .map(|(endpoint, _)| (rank(endpoint), *endpoint))
            .max()
            .map(|(_, endpoint)| endpoint)
    }

    fn is_hinted(&self, prefix: u64, endpoint: &EndpointName, now: MilliTime) -> bool {
        self.hints
            .binary_search_by(|hint| (hint.prefix, &hint.endpoint).cmp(&(prefix, endpoint)))
            .is_ok_and(|index| now.since(self.hints[index].seen_at) < HINT_TTL_MS)
    }

    /// Evicts expired hints when there are more than [`MAX_HINTS`], and if that is not enough, the
    /// older half of the rest.
    fn evict_hints(&mut self, now: MilliTime) {
        if self.hints.len() <= MAX_HINTS {
            return;
        }
        self.hints
            .retain(|hint| now.since(hint.seen_at) < HINT_TTL_MS);
        if self.hints.len() <= MAX_HINTS {
            return;
        }
        // Evicting half at once amortizes the cost over many events.
        let mut times: Vec<MilliTime> = self.hints.iter().map(|hint| hint.seen_at).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.hints.retain(|hint| hint.seen_at > median);
    }
}

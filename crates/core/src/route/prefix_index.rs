use crate::ident::EndpointName;
use crate::time::MilliTime;

use super::seeded_hash::hash_text;

/// The load over the mean at which a prefix moves on to its next endpoint, in percent.
///
/// The usual factor of consistent hashing with bounded loads.
const LOAD_BOUND_PERCENT: f64 = 125.0;

/// The age at which a cache event is forgotten, in milliseconds.
const HINT_AGE_MS: u64 = 60_000;

/// The greatest number of remembered cache events.
const MAX_HINTS: usize = 4_096;

/// A cache event: the endpoint is said to hold the prefix.
#[derive(Clone, Debug)]
struct CacheHint {
    prefix: u64,
    endpoint: EndpointName,
    seen_at: MilliTime,
}

/// The choice of an endpoint that probably holds the prefix of a prompt.
///
/// Each prefix ranks the endpoints by rendezvous hashing; the first one whose load is within the
/// bound is taken. Cache events arrive late and with gaps, so that they only move an endpoint to
/// the front and never exclude one.
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

    /// Returns the key of a prompt's prefix for an account and model.
    pub fn key(account: &str, model: &str, prefix: &str) -> u64 {
        hash_text(hash_text(hash_text(0, account), model), prefix)
    }

    /// Takes the event that `endpoint` stored or dropped a prefix.
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
                self.trim(now);
            }
            (Err(_), false) => {}
        }
    }

    /// Chooses an endpoint for `prefix` among candidates with their load.
    ///
    /// The load is in any unit that is comparable between the candidates, for example the time to
    /// complete. Endpoints with an infinite load are never chosen.
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
            .is_ok_and(|index| now.since(self.hints[index].seen_at) < HINT_AGE_MS)
    }

    fn trim(&mut self, now: MilliTime) {
        if self.hints.len() <= MAX_HINTS {
            return;
        }
        self.hints
            .retain(|hint| now.since(hint.seen_at) < HINT_AGE_MS);
        if self.hints.len() <= MAX_HINTS {
            return;
        }
        // Keeps the newer half, so that the cost of trimming is spread over many events.
        let mut times: Vec<MilliTime> = self.hints.iter().map(|hint| hint.seen_at).collect();
        times.sort_unstable();
        let middle = times[times.len() / 2];
        self.hints.retain(|hint| hint.seen_at > middle);
    }
}

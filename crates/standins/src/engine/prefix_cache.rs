use std::time::Instant;

use super::CacheEvent;
use super::layer_state::hash_text;
use super::layer_state::mix;

/// The number of prompt tokens in a block of the prefix cache.
const BLOCK_TOKENS: usize = 16;

/// The maximum number of events that are kept for readers; older ones are dropped.
const MAX_EVENTS: usize = 10_000;

/// A cache of prompt prefixes in blocks, with least-recently-used eviction.
#[derive(Default)]
pub(super) struct PrefixCache {
    /// The hashes of the cached prefixes, the least recently used first.
    blocks: Vec<u64>,
    /// The latest events with the time of each, in order.
    events: Vec<(Instant, CacheEvent)>,
    /// The number of the latest event, 0 before the first one.
    last_number: u64,
}

impl PrefixCache {
    /// Stores the complete blocks of a prompt, and returns the number of its leading tokens that
    /// were already cached.
    pub(super) fn insert_prompt(&mut self, prompt: &str, capacity: usize) -> u32 {
        let words: Vec<&str> = prompt.split_whitespace().collect();
        let mut prefix = 0;
        let mut cached = 0;
        let mut is_prefix_cached = true;
        for block in words.chunks_exact(BLOCK_TOKENS) {
            prefix = mix(prefix ^ hash_text(&block.join(" ")));
            let known = self.blocks.iter().position(|known| *known == prefix);
            is_prefix_cached = is_prefix_cached && known.is_some();
            if is_prefix_cached {
                cached += BLOCK_TOKENS as u32;
            }
            match known {
                Some(index) => {
                    self.blocks.remove(index);
                }
                None => self.publish(prefix, true),
            }
            self.blocks.push(prefix);
        }
        while self.blocks.len() > capacity {
            let evicted = self.blocks.remove(0);
            self.publish(evicted, false);
        }
        cached
    }

    /// Returns the events numbered above `after` that are at least `delay_ms` old, without those
    /// whose number is a multiple of `loss_interval`.
    pub(super) fn events(&self, after: u64, delay_ms: u64, loss_interval: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(time, _)| time.elapsed().as_millis() as u64 >= delay_ms)
            .map(|(_, event)| event)
            .filter(|event| event.number > after)
            .filter(|event| loss_interval == 0 || event.number % loss_interval != 0)
            .cloned()
            .collect()
    }

    fn publish(&mut self, block: u64, stored: bool) {
        self.last_number += 1;
        let event = CacheEvent {
            number: self.last_number,
            block,
            stored,
        };
        self.events.push((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.remove(0);
        }
    }
}

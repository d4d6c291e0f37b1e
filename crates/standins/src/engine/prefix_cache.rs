use std::time::Instant;

use super::CacheEvent;
use super::layer_state::hash_text;
use super::layer_state::mix;

/// The number of prompt tokens in a block of the prefix cache.
const BLOCK_TOKENS: usize = 16;

/// The number of events that are kept for readers.
const KEPT_EVENTS: usize = 10_000;

/// A prefix cache of limited size, which evicts the block that was unused for longest.
#[derive(Default)]
pub(super) struct PrefixCache {
    /// From the block unused for longest to the one used last.
    blocks: Vec<u64>,
    /// Every event with the time of its publication, in order.
    events: Vec<(Instant, CacheEvent)>,
    next_number: u64,
}

impl PrefixCache {
    /// Stores the whole blocks of a prompt and returns how many of its tokens were cached.
    pub(super) fn touch(&mut self, prompt: &str, capacity: usize) -> u32 {
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

    /// Returns the events after a number that are older than the lag, without the lost ones.
    pub(super) fn events(&self, after: u64, lag_ms: u64, gap: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(time, _)| time.elapsed().as_millis() as u64 >= lag_ms)
            .map(|(_, event)| event)
            .filter(|event| event.number > after)
            .filter(|event| gap == 0 || event.number % gap != 0)
            .cloned()
            .collect()
    }

    fn publish(&mut self, block: u64, stored: bool) {
        self.next_number += 1;
        let event = CacheEvent {
            number: self.next_number,
            block,
            stored,
        };
        self.events.push((Instant::now(), event));
        if self.events.len() > KEPT_EVENTS {
            self.events.remove(0);
        }
    }
}

use serde::Deserialize;
use serde::Serialize;

/// The simulated KV cache of one session: a running hash for each layer of a range.
///
/// The output of a layer depends on all earlier inputs of the layer, so a step that is skipped,
/// repeated or out of order changes every later output.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct LayerState {
    first: u16,
    hashes: Vec<u64>,
}

impl LayerState {
    /// Creates the state of `count` layers from layer `first` on, before any position has run.
    pub(super) fn new(version: u32, first: u16, count: u16) -> LayerState {
        LayerState {
            first,
            hashes: vec![mix(u64::from(version)); usize::from(count)],
        }
    }

    /// Runs one position through the layers and returns the output of the last layer.
    pub(super) fn run(&mut self, position: u32, input: u64) -> u64 {
        let mut value = input;
        for (index, hash) in self.hashes.iter_mut().enumerate() {
            let layer = u64::from(self.first) + index as u64;
            let place = (layer << 32) | u64::from(position);
            *hash = mix(*hash ^ mix(value ^ mix(place)));
            value = *hash;
        }
        value
    }
}

/// Returns the 64-bit FNV-1a hash of a text.
pub(super) fn hash_text(text: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325;
    text.bytes().fold(start, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Mixes the bits of a value with one step of the SplitMix64 generator.
pub(super) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

use super::layer_state::LayerState;
use super::layer_state::hash_text;

const CONSONANTS: &[u8; 16] = b"bcdfghjklmnprstv";
const VOWELS: &[u8; 4] = b"aeio";

/// The text in a prompt that starts the length of its answer in tokens, as in `[length=40]`.
const LENGTH_MARKER: &str = "[length=";

/// The deterministic model that engine stand-ins compute.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenModel {
    version: u32,
    layers: u16,
}

impl TokenModel {
    /// Creates a version of the model with `layers` layers.
    pub fn new(version: u32, layers: u16) -> TokenModel {
        TokenModel { version, layers }
    }

    /// Returns the tokens of the answer to `prompt`, at most `max_tokens`.
    pub fn answer(&self, prompt: &str, max_tokens: u32) -> Vec<String> {
        let mut state = LayerState::new(self.version, 0, self.layers);
        let mut tokens = Vec::new();
        let mut input = hash_text(prompt);
        for position in 0..TokenModel::answer_length(prompt).min(max_tokens) {
            let token = TokenModel::token_text(state.run(position, input));
            input = hash_text(&token);
            tokens.push(token);
        }
        tokens
    }

    /// Returns the number of tokens of the full answer to `prompt`.
    ///
    /// A prompt sets it with `[length=<tokens>]`. Otherwise it is 12 to 31, depending on the hash
    /// of the prompt.
    pub fn answer_length(prompt: &str) -> u32 {
        let marked = prompt.find(LENGTH_MARKER).and_then(|start| {
            let rest = &prompt[start + LENGTH_MARKER.len()..];
            rest[..rest.find(']')?].parse().ok()
        });
        marked.unwrap_or_else(|| 12 + (hash_text(prompt) % 20) as u32)
    }

    /// Returns the number of tokens of a prompt: its number of words, but at least 1.
    pub fn prompt_tokens(prompt: &str) -> u32 {
        prompt.split_whitespace().count().max(1) as u32
    }

    /// Returns the text of the token that an output of the last layer encodes.
    pub(super) fn token_text(output: u64) -> String {
        let mut text = String::from(" ");
        for shift in [0, 6, 12] {
            let bits = (output >> shift) as usize;
            text.push(char::from(CONSONANTS[bits & 15]));
            text.push(char::from(VOWELS[(bits >> 4) & 3]));
        }
        text
    }
}

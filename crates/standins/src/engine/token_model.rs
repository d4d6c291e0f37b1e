use super::layer_state::LayerState;
use super::layer_state::hash_text;

const CONSONANTS: &[u8; 16] = b"bcdfghjklmnprstv";
const VOWELS: &[u8; 4] = b"aeio";

/// The marker in a prompt that sets the number of tokens of its answer, as in `[length=40]`.
const LENGTH_MARKER: &str = "[length=";

/// The deterministic model that every engine stand-in computes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenModel {
    version: u32,
    layers: u16,
}

impl TokenModel {
    /// Creates the model with a number of layers at a version.
    pub fn new(version: u32, layers: u16) -> TokenModel {
        TokenModel { version, layers }
    }

    /// Returns the tokens of the answer to `prompt`, cut after `max_tokens`.
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

    /// Returns the number of tokens after which the model ends the answer to `prompt`: the one
    /// that the prompt asks for with `[length=<tokens>]`, otherwise 12 to 31 depending on its hash.
    pub fn answer_length(prompt: &str) -> u32 {
        let marked = prompt.find(LENGTH_MARKER).and_then(|start| {
            let rest = &prompt[start + LENGTH_MARKER.len()..];
            rest[..rest.find(']')?].parse().ok()
        });
        marked.unwrap_or_else(|| 12 + (hash_text(prompt) % 20) as u32)
    }

    /// Returns the number of tokens of a prompt, which is its number of words.
    pub fn prompt_tokens(prompt: &str) -> u32 {
        prompt.split_whitespace().count().max(1) as u32
    }

    /// Returns the text of the token that the last layer's output stands for.
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

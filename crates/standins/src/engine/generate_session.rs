use dandelionroad_clients::engine::GenerateOrder;
use dandelionroad_clients::engine::GeneratedToken;
use dandelionroad_core::stream::LayerRange;

use super::TokenModel;
use super::layer_state::LayerState;
use super::layer_state::hash_text;

/// One answer that a whole-model engine generates.
pub(super) struct GenerateSession {
    position: u32,
    end: u32,
    input: u64,
    state: LayerState,
}

impl GenerateSession {
    /// Computes the prompt and the tokens from which the answer resumes.
    pub(super) fn new(version: u32, range: LayerRange, order: &GenerateOrder) -> GenerateSession {
        let mut state = LayerState::new(version, range.first, range.len());
        let mut input = hash_text(&order.prompt);
        for (position, token) in order.resume.iter().enumerate() {
            state.run(position as u32, input);
            input = hash_text(token);
        }
        GenerateSession {
            position: order.resume.len() as u32,
            end: TokenModel::answer_length(&order.prompt).min(order.max_tokens),
            input,
            state,
        }
    }

    /// Generates the next token.
    pub(super) fn next_token(&mut self) -> GeneratedToken {
        let position = self.position;
        let text = TokenModel::token_text(self.state.run(position, self.input));
        self.input = hash_text(&text);
        self.position += 1;
        GeneratedToken {
            position,
            text,
            is_end: self.position >= self.end,
        }
    }
}

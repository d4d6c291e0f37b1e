use dandelionroad_clients::engine::GenerateOrder;
use dandelionroad_clients::engine::GeneratedToken;
use dandelionroad_core::stream::LayerRange;

use super::TokenModel;
use super::layer_state::LayerState;
use super::layer_state::hash_text;

/// The generation of one answer on a whole-model engine.
pub(super) struct GenerateSession {
    /// The position of the next token.
    position: u32,
    /// The position after the last token.
    end: u32,
    /// The hash of the prompt or of the last token, which the next token depends on.
    input: u64,
    state: LayerState,
}

impl GenerateSession {
    /// Creates the session of `order`, continuing after the tokens that it resumes from.
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

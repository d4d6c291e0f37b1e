use dandelionroad_clients::engine::EngineStep;
use dandelionroad_clients::engine::StepOutput;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StepPayload;
use serde::Deserialize;
use serde::Serialize;

use super::TokenModel;
use super::layer_state::LayerState;
use super::layer_state::hash_text;

/// A session of a layer-range engine. Its JSON form is the cache export.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct LayerSession {
    /// The version of the model that computed the session.
    pub(super) version: u32,
    pub(super) range: LayerRange,
    /// The position of the next step.
    pub(super) expected: u32,
    /// The number of tokens of the answer, known after the first step.
    answer_length: u32,
    state: LayerState,
}

/// The activation between two layers. Its text form is `layer.position.length.hash`.
struct ActivationText {
    /// The layer that takes the activation as its input.
    layer: u16,
    position: u32,
    answer_length: u32,
    hash: u64,
}

impl LayerSession {
    /// Creates a session whose first step is at position 0.
    pub(super) fn new(version: u32, range: LayerRange) -> LayerSession {
        LayerSession {
            version,
            range,
            expected: 0,
            answer_length: 0,
            state: LayerState::new(version, range.first, range.len()),
        }
    }

    /// Runs one step, or returns the reason why it does not fit the session.
    pub(super) fn run(&mut self, step: &EngineStep) -> Result<StepOutput, String> {
        if step.position != self.expected {
            let expected = self.expected;
            return Err(format!(
                "step at position {}, expected {expected}",
                step.position
            ));
        }
        if step.range != self.range {
            return Err(format!(
                "step for layers {}..{}, expected {}..{} as in the session",
                step.range.first, step.range.end, self.range.first, self.range.end
            ));
        }
        let input = self.read_input(step)?;
        let output = self.state.run(step.position, input);
        self.expected += 1;
        Ok(self.write_output(step, output))
    }

    fn read_input(&mut self, step: &EngineStep) -> Result<u64, String> {
        match &step.payload {
            StepPayload::Text(text) if self.range.first == 0 => {
                if step.position == 0 {
                    self.answer_length = TokenModel::answer_length(text);
                }
                Ok(hash_text(text))
            }
            StepPayload::Activation(text) if self.range.first > 0 => {
                let activation = ActivationText::parse(text).ok_or_else(|| {
                    "malformed activation; use layer.position.length.hash".to_owned()
                })?;
                if activation.layer != self.range.first || activation.position != step.position {
                    return Err(format!(
                        "the activation is for layer {} and position {}",
                        activation.layer, activation.position
                    ));
                }
                self.answer_length = activation.answer_length;
                Ok(activation.hash)
            }
            _ => Err("wrong payload: layer 0 needs text, any other layer an activation".to_owned()),
        }
    }

    fn write_output(&self, step: &EngineStep, hash: u64) -> StepOutput {
        if step.is_last {
            return StepOutput {
                payload: StepPayload::Text(TokenModel::token_text(hash)),
                is_end: step.position + 1 >= self.answer_length,
            };
        }
        let activation = ActivationText {
            layer: self.range.end,
            position: step.position,
            answer_length: self.answer_length,
            hash,
        };
        StepOutput {
            payload: StepPayload::Activation(activation.format()),
            is_end: false,
        }
    }
}

impl ActivationText {
    fn parse(text: &str) -> Option<ActivationText> {
        let mut parts = text.split('.');
        Some(ActivationText {
            layer: parts.next()?.parse().ok()?,
            position: parts.next()?.parse().ok()?,
            answer_length: parts.next()?.parse().ok()?,
            hash: u64::from_str_radix(parts.next()?, 16).ok()?,
        })
    }

    fn format(&self) -> String {
        let ActivationText {
            layer,
            position,
            answer_length,
            hash,
        } = self;
        format!("{layer}.{position}.{answer_length}.{hash:016x}")
    }
}

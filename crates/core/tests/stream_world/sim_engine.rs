use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StageOutput;
use dandelionroad_core::stream::StepPayload;
use dandelionroad_core::stream::StopReason;

pub(crate) const LAYERS: u16 = 12;

/// The cache of one session, with a hash of all inputs that each layer has run.
///
/// A layer that skips, repeats or reorders a position gets another hash, which changes all later
/// outputs.
#[derive(Clone, Default)]
pub(crate) struct SimSession {
    layers: BTreeMap<u16, u64>,
    pub(crate) inputs: Vec<StepPayload>,
    pub(crate) outputs: Vec<StepPayload>,
    pub(crate) end: Option<StopReason>,
}

impl SimSession {
    pub(crate) fn run_layers(&mut self, range: LayerRange, payload: &StepPayload) -> String {
        let (StepPayload::Text(input) | StepPayload::Activation(input)) = payload;
        let mut value = input.clone();
        for layer in range.first..range.end {
            let state = self.layers.entry(layer).or_default();
            let mut hasher = DefaultHasher::new();
            (layer, *state, &value).hash(&mut hasher);
            *state = hasher.finish();
            value = format!("{:016x}", *state);
        }
        self.inputs.push(payload.clone());
        value
    }

    /// Runs one step; the salt in the token of the last layer simulates random sampling.
    pub(crate) fn step(
        &mut self,
        range: LayerRange,
        payload: &StepPayload,
        salt: u64,
        stop_length: u32,
    ) -> StageOutput {
        let position = self.inputs.len() as u32;
        let value = self.run_layers(range, payload);
        let is_last = range.end == LAYERS;
        let payload = if is_last {
            StepPayload::Text(format!("{value}/{salt}"))
        } else {
            StepPayload::Activation(value)
        };
        self.outputs.push(payload.clone());
        self.end = (is_last && position + 1 == stop_length).then_some(StopReason::Stop);
        StageOutput {
            payload,
            end: self.end,
        }
    }
}

/// Checks that each token was computed by running every layer once over the tokens before it.
pub(crate) fn check_answer(prompt: &str, tokens: &[String]) {
    let mut session = SimSession::default();
    for (position, token) in tokens.iter().enumerate() {
        let input = position
            .checked_sub(1)
            .map_or(prompt, |previous| &tokens[previous]);
        let input = StepPayload::Text(input.to_owned());
        let value = session.run_layers(LayerRange::new(0, LAYERS), &input);
        let sampled = token.split('/').next();
        assert_eq!(
            sampled,
            Some(value.as_str()),
            "token {position} of {tokens:?}"
        );
    }
}

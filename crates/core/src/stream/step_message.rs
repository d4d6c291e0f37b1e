use serde::Deserialize;
use serde::Serialize;

use crate::ident::RequestIdent;

use super::StepInput;
use super::StreamOrder;

/// A message from a stage to its successor.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepMessage {
    /// The request.
    pub request: RequestIdent,
    /// The attempt; a stage only runs steps of the newest attempt.
    pub attempt: u32,
    /// The index of the receiving stage in the route.
    pub stage: usize,
    /// The order with the route; present in the first message of an attempt, in replays and in probes.
    pub order: Option<StreamOrder>,
    /// The inputs by ascending position; several if saved outputs are replayed, none in a probe.
    pub inputs: Vec<StepInput>,
}

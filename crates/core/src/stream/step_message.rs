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
    /// The attempt; a stage runs steps of the newest attempt only.
    pub attempt: u32,
    /// The position of the receiving stage in the route.
    pub stage: usize,
    /// The order with the route; present in the first message of an attempt and in replays.
    pub order: Option<StreamOrder>,
    /// The inputs in ascending positions; several when saved outputs are replayed.
    pub inputs: Vec<StepInput>,
}

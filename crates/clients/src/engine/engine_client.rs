use futures_util::stream::BoxStream;

use crate::ClientFuture;
use crate::PlatformError;

use super::EngineOrder;
use super::EngineState;
use super::EngineStep;
use super::GenerateOrder;
use super::GeneratedToken;
use super::StepOutput;

/// A client of one model engine.
pub trait EngineClient: Send + Sync {
    /// Runs one step on a layer-range engine.
    fn step<'a>(&'a self, step: &'a EngineStep) -> ClientFuture<'a, StepOutput>;

    /// Generates an answer on a whole-model engine.
    ///
    /// The stream ends after the token with `is_end` set, or with an error. If it ends with neither,
    /// the engine closed the connection early.
    fn generate<'a>(
        &'a self,
        order: &'a GenerateOrder,
    ) -> ClientFuture<'a, BoxStream<'static, Result<GeneratedToken, PlatformError>>>;

    /// Cancels a session and frees its KV cache.
    fn cancel<'a>(&'a self, session: &'a str) -> ClientFuture<'a, ()>;

    /// Reads which part of a model the engine holds.
    fn state(&self) -> ClientFuture<'_, EngineState>;

    /// Sends a load or unload order with a fencing token, which some engines check and others ignore.
    fn send_order<'a>(&'a self, order: &'a EngineOrder, fence: u64) -> ClientFuture<'a, ()>;
}

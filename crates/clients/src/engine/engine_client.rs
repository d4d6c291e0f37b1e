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
    /// Runs one step of a layer-range engine.
    fn step<'a>(&'a self, step: &'a EngineStep) -> ClientFuture<'a, StepOutput>;

    /// Generates with a whole-model engine; the stream ends after the token with `is_end`, or with
    /// an error. A stream that ends without either was cut off.
    fn generate<'a>(
        &'a self,
        order: &'a GenerateOrder,
    ) -> ClientFuture<'a, BoxStream<'static, Result<GeneratedToken, PlatformError>>>;

    /// Cancels a session and frees its cache.
    fn cancel<'a>(&'a self, session: &'a str) -> ClientFuture<'a, ()>;

    /// Reads what the engine holds.
    fn state(&self) -> ClientFuture<'_, EngineState>;

    /// Gives an order under a fencing number, which some engines check and others ignore.
    fn order<'a>(&'a self, order: &'a EngineOrder, fence: u64) -> ClientFuture<'a, ()>;
}

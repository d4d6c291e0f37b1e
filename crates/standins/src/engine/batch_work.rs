use dandelionroad_clients::engine::EngineStep;
use dandelionroad_clients::engine::GeneratedToken;
use dandelionroad_clients::engine::StepOutput;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::generate_session::GenerateSession;

/// The computation of a job and the channel for its output.
pub(super) enum BatchWork {
    /// One step of a layer range.
    Step {
        step: EngineStep,
        /// The channel for the output, or for the reason why the step was rejected.
        reply: oneshot::Sender<Result<StepOutput, String>>,
    },
    /// An answer; each batch generates one token of it.
    Generate {
        session: Box<GenerateSession>,
        /// The channel for the tokens.
        tokens: mpsc::UnboundedSender<GeneratedToken>,
    },
}

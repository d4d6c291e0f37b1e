use super::run_step::RunStep;
/// What ended a wait for the runs of a request.
pub(super) enum RunSignal {
    /// Something arrived from the first engine of the run with this index.
    Step(usize, RunStep),
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// A shared part of the prompt is refused by now because it crashes engines.
    Refused,
}

/// What a stopping process is to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainAction {
    /// Fail the readiness check, so that the balancer sends nothing more.
    FailReadiness,
    /// Refuse new work as `not-run` with the reason `leaving`.
    RefuseWork,
    /// Publish the own record as leaving.
    PublishLeaving,
    /// Publish the own record as gone.
    PublishGone,
    /// Exit.
    Exit,
}

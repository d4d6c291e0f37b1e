/// What stands beside an endpoint's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineKind {
    /// A model engine that holds a range of layers.
    LayerRange,
    /// A plain service.
    PlainService,
    /// A model engine that holds the whole model.
    WholeModel,
}

impl EngineKind {
    pub(crate) const CHOICES: &[(&str, EngineKind)] = &[
        ("layer-range", EngineKind::LayerRange),
        ("whole-model", EngineKind::WholeModel),
        ("plain-service", EngineKind::PlainService),
    ];
}

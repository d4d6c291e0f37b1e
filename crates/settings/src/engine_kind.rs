/// The kind of engine or service that an endpoint serves.
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
    /// The values of the setting `engine-kind`.
    pub(crate) const CHOICES: &[(&str, EngineKind)] = &[
        ("layer-range", EngineKind::LayerRange),
        ("whole-model", EngineKind::WholeModel),
        ("plain-service", EngineKind::PlainService),
    ];
}

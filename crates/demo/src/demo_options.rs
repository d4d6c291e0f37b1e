use dandelionroad_standins::engine::EngineMode;

use super::DemoLayout;

/// How the demonstration is started.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// The processes.
    pub layout: DemoLayout,
    /// Whether listeners have the ports that the README names; otherwise they have free ports.
    pub has_fixed_ports: bool,
    /// How the engines are driven.
    pub mode: EngineMode,
    /// The time of one batch of an engine, in microseconds.
    pub step_us: u64,
    /// The time for each prompt token, in microseconds.
    pub prompt_token_us: u64,
    /// The time between failed readiness and the earliest exit of an entry, in milliseconds.
    pub drain_notice_ms: u64,
}

impl DemoOptions {
    /// Returns the three-stage pipeline on free ports with engines that answer without delay.
    pub fn three_stages() -> DemoOptions {
        DemoOptions {
            layout: DemoLayout::three_stages(),
            has_fixed_ports: false,
            mode: EngineMode::LayerRange,
            step_us: 0,
            prompt_token_us: 0,
            drain_notice_ms: 3_000,
        }
    }
}

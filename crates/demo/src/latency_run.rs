use std::fmt;
use std::time::Instant;

use dandelionroad_clients::PlatformError;
use dandelionroad_clients::engine::EngineClient;
use dandelionroad_clients::engine::EngineStep;
use dandelionroad_clients::engine::HttpEngine;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StepPayload;
use dandelionroad_standins::load::CallOutcome;
use dandelionroad_standins::load::CallerClient;
use dandelionroad_standins::load::LoadKind;
use dandelionroad_standins::load::TimeSample;

use super::ACCOUNT_SECRET;
use super::DemoCluster;
use super::DemoError;
use super::DemoLayout;
use super::DemoOptions;
use super::LAYERS;
use super::LatencyCommand;
use super::MODEL;

/// The deadline of direct calls other than steps, in milliseconds.
const DIRECT_DEADLINE_MS: u64 = 1_000;

/// The latencies of direct and routed requests for one number of stages, in milliseconds.
#[derive(Debug, Default)]
pub struct LatencyRun {
    stages: usize,
    direct_first_ms: Vec<f64>,
    direct_intervals_ms: Vec<f64>,
    routed_first_ms: Vec<f64>,
    routed_intervals_ms: Vec<f64>,
    failures: Vec<String>,
}

impl LatencyRun {
    /// Measures a chain with one stage for each of `ranges`. Requests alternate between direct
    /// calls of the engines, stage by stage, and calls through an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the cluster can't be started or configured.
    pub async fn measure(
        command: &LatencyCommand,
        ranges: &[LayerRange],
    ) -> Result<LatencyRun, DemoError> {
        let stages = ranges.len() as u64;
        let options = DemoOptions {
            layout: DemoLayout::chain(ranges),
            step_us: command.step_us / stages,
            prompt_token_us: command.prompt_token_us / stages,
            ..DemoOptions::three_stages()
        };
        let cluster = DemoCluster::start(options).await?;
        cluster.apply_ticket().await?;
        cluster.wait_ready().await;
        let engines: Vec<HttpEngine> = cluster
            .engines
            .iter()
            .map(|engine| HttpEngine::new(&engine.url(), DIRECT_DEADLINE_MS))
            .collect();
        let caller = CallerClient::new(ACCOUNT_SECRET);
        let mut run = LatencyRun {
            stages: ranges.len(),
            ..LatencyRun::default()
        };
        for index in 0..command.requests {
            run.measure_direct(command, &engines, ranges, index).await;
            run.measure_routed(command, &caller, &cluster.entry_urls()[0], index)
                .await;
        }
        Ok(run)
    }

    /// Returns the errors of the requests that were not answered.
    pub fn failures(&self) -> &[String] {
        &self.failures
    }

    async fn measure_direct(
        &mut self,
        command: &LatencyCommand,
        engines: &[HttpEngine],
        ranges: &[LayerRange],
        index: usize,
    ) {
        let session = format!("direct-{index}");
        let mut text = prompt(command, &session);
        let mut last = Instant::now();
        for position in 0..command.tokens {
            match run_position(engines, ranges, &session, position, text).await {
                Ok(token) => text = token,
                Err(error) => return self.failures.push(format!("direct: {error}")),
            }
            let elapsed_ms = last.elapsed().as_secs_f64() * 1_000.0;
            last = Instant::now();
            match position {
                0 => self.direct_first_ms.push(elapsed_ms),
                _ => self.direct_intervals_ms.push(elapsed_ms),
            }
        }
        for engine in engines {
            // A session that is left behind does not affect the latencies of later requests.
            let _ = engine.cancel(&session).await;
        }
    }

    async fn measure_routed(
        &mut self,
        command: &LatencyCommand,
        caller: &CallerClient,
        entry: &str,
        index: usize,
    ) {
        let prompt = prompt(command, &format!("routed-{index}"));
        let call = (MODEL, prompt.as_str(), command.tokens);
        let result = caller.stream(entry, LoadKind::Completion, call, "").await;
        if result.outcome != CallOutcome::Answered {
            return self.failures.push(format!("routed: {}", result.outcome));
        }
        self.routed_first_ms.extend(result.first_ms);
        self.routed_intervals_ms.extend(result.token_intervals_ms);
    }
}

impl fmt::Display for LatencyRun {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{} stage(s)", self.stages)?;
        for (name, direct, routed) in [
            ("first token", &self.direct_first_ms, &self.routed_first_ms),
            (
                "between tokens",
                &self.direct_intervals_ms,
                &self.routed_intervals_ms,
            ),
        ] {
            let direct = TimeSample::new(direct.clone());
            let routed = TimeSample::new(routed.clone());
            let added = routed.percentile(50) - direct.percentile(50);
            let ratio = routed.percentile(50) / direct.percentile(50);
            writeln!(
                formatter,
                "  {name}: added {added:.2} ms, ratio {ratio:.3} (medians)"
            )?;
            writeln!(formatter, "    direct: {direct}")?;
            writeln!(formatter, "    routed: {routed}")?;
        }
        write!(formatter, "  failures: {}", self.failures.len())
    }
}

fn prompt(command: &LatencyCommand, label: &str) -> String {
    let words = vec!["rope"; command.prompt_words.saturating_sub(2)].join(" ");
    format!("{label} {words} [length={}]", command.tokens)
}

/// Runs one position through all stages and returns the generated token.
async fn run_position(
    engines: &[HttpEngine],
    ranges: &[LayerRange],
    session: &str,
    position: u32,
    text: String,
) -> Result<String, PlatformError> {
    let mut payload = StepPayload::Text(text);
    for (engine, range) in engines.iter().zip(ranges) {
        let step = EngineStep {
            session: session.to_owned(),
            position,
            range: *range,
            is_last: range.end == LAYERS,
            payload,
        };
        payload = engine.step(&step).await?.payload;
    }
    match payload {
        StepPayload::Text(text) | StepPayload::Activation(text) => Ok(text),
    }
}

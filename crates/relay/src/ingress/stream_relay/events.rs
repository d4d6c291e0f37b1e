//! The events of a run on their way to the caller.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_core::chain::ChainPart;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::engine::probe_stall;
use crate::telemetry::RequestLog;

use super::RunEnd;
use super::StreamRelay;

/// How long an event may take before its engines are suspected, as a factor of the wanted pause.
const SUSPECT_FACTOR: u64 = 2;

/// How long an event may take before the stream is moved to another chain, as a factor of the time
/// after which its engines are suspected.
///
/// Callers leave after two seconds without an event; the new chain has to read the prompt first.
const MOVE_FACTOR: u64 = 2;

/// The events between two notes of a run's pace.
const PACE_EVENTS: u64 = 8;

/// Bytes of a run, none at its end.
type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

impl StreamRelay {
    pub(super) async fn pass_events(
        &mut self,
        sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
        log: &mut RequestLog,
    ) -> RunEnd {
        loop {
            let frame = match self.next_frame().await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return RunEnd::Broken("stream cut"),
                Ok(None) if self.splitter.has_rest() => return RunEnd::Broken("event cut"),
                Ok(None) => return RunEnd::Complete,
                Err(cause) => return RunEnd::Broken(cause),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let whole = match self.splitter.push(&data) {
                Ok(whole) => whole,
                Err(_) => return RunEnd::Broken("event out of order"),
            };
            if whole.is_empty() {
                continue;
            }
            log.piece();
            self.observe_pace();
            if sender.send(Ok(Bytes::from(whole))).await.is_err() {
                return RunEnd::CallerLeft;
            }
        }
    }

    /// Notes the pace of the run every few events.
    fn observe_pace(&mut self) {
        let now = self.state.clock.now();
        let events = self.splitter.events();
        let Some(run) = self.run.as_mut() else { return };
        let Some((since, counted)) = run.paced else {
            run.paced = Some((now, events));
            return;
        };
        let passed = events.saturating_sub(counted);
        if passed < PACE_EVENTS {
            return;
        }
        run.paced = Some((now, events));
        let event_ms = now.since(since) as f64 / passed as f64;
        let pace = event_ms / run.base_ms.max(1e-9);
        let ids = run.parts.iter().map(|part| part.id.as_str());
        let mut view = self.state.view.borrow_mut();
        view.engines.observe_pace(ids, pace, now);
    }

    /// Waits for bytes of the run; a stalled one is given up only if another chain can take over.
    pub(super) async fn next_frame(&mut self) -> Result<NextFrame, &'static str> {
        let Some(mut run) = self.run.take() else {
            return Err("no run");
        };
        let suspect_ms = self.relay.route().gap_target_ms * SUSPECT_FACTOR;
        let move_ms = suspect_ms * (MOVE_FACTOR - 1);
        let mut waits = [suspect_ms, move_ms, u64::MAX].into_iter();
        let result = loop {
            let left_ms = self.relay.deadline.since(self.state.clock.now());
            let wait_ms = waits.next().unwrap_or(u64::MAX).min(left_ms);
            let frame = tokio::time::timeout(Duration::from_millis(wait_ms), run.body.frame());
            match frame.await {
                Ok(frame) => break Ok(frame),
                Err(_) if wait_ms >= left_ms => break Err("out of time"),
                Err(_) => {
                    self.suspect(&run.parts);
                    if waits.len() == 1 && self.may_move(&run.parts) {
                        self.count_stall(&run.parts);
                        break Err("stalled");
                    }
                }
            }
        };
        self.run = Some(run);
        result
    }

    /// Has the first engine of a stalled run asked what it waits for.
    pub(super) fn suspect(&self, parts: &[ChainPart]) {
        let state = Rc::clone(&self.state);
        let request = self.relay.caller.id.clone();
        spawn_local(probe_stall(state, parts.to_vec(), request));
    }

    /// Counts a run that was given up as stalled at its engines.
    pub(super) fn count_stall(&self, parts: &[ChainPart]) {
        let now = self.state.clock.now();
        let ids: Vec<&str> = parts.iter().map(|part| part.id.as_str()).collect();
        let avoided = self.state.view.borrow_mut().engines.stall(&ids, now);
        for id in avoided {
            spdlog::info!("engines: avoided: runs stall", kv: {
                engine = id.as_str(),
                request = self.relay.caller.id.as_str(),
            });
        }
    }
}

//! Guards against requests with a suspected prompt part that run beside each other and crash an engine each.

use dandelionroad_core::relay::PartLedger;
use dandelionroad_core::relay::PartTrials;
use dandelionroad_core::relay::PartVerdict;
use dandelionroad_core::relay::PromptPart;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const START: MilliTime = MilliTime::from_millis(100_000);

/// The time from the start of a run to the crash, or to the proof that its parts are sound, in milliseconds.
const RUN_MS: u64 = 140;

fn part(id: &str) -> PromptPart {
    PromptPart::new("knots", id)
}

/// Guards against a wrong match of requests that are on trial: only those that share a part count.
#[test]
fn part_trials_match_shared_parts() {
    let mut trials = PartTrials::new();
    let first = trials.begin(&[part("f1"), part("bad")]);
    let second = trials.begin(&[part("f2"), part("bad")]);
    assert!(trials.is_tried(&[part("bad")]));
    assert!(!trials.is_tried(&[part("f3")]));
    trials.end(first);
    assert!(!trials.is_tried(&[part("f1")]));
    assert!(trials.is_tried(&[part("bad")]));
    trials.end(second);
    assert!(!trials.is_tried(&[part("bad")]));
}

/// Two runs with a fatal part crash their engines at the same time, which counts as one loss, or one after the other;
/// both are retried and further requests come. Guards against retries beside each other, which crash four engines or
/// more in place of two, or of three after simultaneous losses.
#[test]
fn part_trials_bound_crashes() {
    for seed in 0..2_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let apart_ms = random.random_range(0..RUN_MS);
        let mut ledger = PartLedger::new();
        let mut trials = PartTrials::new();
        // The end of each run and its trial; the times at which requests are to be sent.
        let mut runs: Vec<(u64, u64)> = Vec::new();
        let mut due = vec![0, apart_ms];
        due.extend((0..6).map(|_| random.random_range(RUN_MS..1_000)));
        let mut crashes = 0;
        for now in 0..3_000 {
            for (_, trial) in runs.extract_if(.., |(end, _)| *end == now) {
                crashes += 1;
                let at = START.plus(now);
                ledger.record_crash(&[part("bad")], &format!("e{crashes}"), at);
                trials.end(trial);
                // The request is retried after a pause for reports.
                due.push(now + 100);
            }
            let may_run = |at: &mut u64| *at <= now;
            for at in due.extract_if(.., may_run).collect::<Vec<u64>>() {
                match ledger.verdict(&[part("bad")]) {
                    PartVerdict::Refused => {}
                    PartVerdict::Suspected if trials.is_tried(&[part("bad")]) => due.push(at),
                    _ => runs.push((now + RUN_MS, trials.begin(&[part("bad")]))),
                }
            }
            if ledger.verdict(&[part("bad")]) == PartVerdict::Refused {
                // Runs that have not begun to answer are stopped.
                for (_, trial) in runs.drain(..) {
                    trials.end(trial);
                }
            }
        }
        let bound = if apart_ms <= 20 { 3 } else { 2 };
        assert!(
            crashes <= bound,
            "seed {seed}: {crashes} engines, {apart_ms} ms apart"
        );
    }
}

//! Guards against requests that crash one engine after another, and against refusing requests that
//! ran beside them or whose answers were merely lost.

use dandelionroad_core::relay::CrashDetector;
use dandelionroad_core::relay::EngineCrash;
use dandelionroad_core::relay::PartVerdict;
use dandelionroad_core::relay::PromptPart;
use dandelionroad_core::relay::RunPhase;
use dandelionroad_core::time::MilliTime;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const START: MilliTime = MilliTime::from_millis(100_000);

fn crash(fingerprint: &str, engine: &str) -> EngineCrash {
    EngineCrash {
        fingerprint: fingerprint.to_owned(),
        engine: engine.to_owned(),
    }
}

fn record_broken_run(
    detector: &mut CrashDetector,
    fingerprint: &str,
    engine: &str,
    now: MilliTime,
) -> Vec<EngineCrash> {
    detector.record_broken_run(
        fingerprint,
        &[],
        &[engine.to_owned()],
        RunPhase::Starting,
        now,
    )
}

/// Guards against refusing a request whose answers get lost while no engine is lost.
#[test]
fn crash_detector_ignores_lost_answers() {
    let mut detector = CrashDetector::new();
    for engine in 0..20 {
        record_broken_run(&mut detector, "aa", &format!("e{engine}"), START);
    }
    assert!(detector.is_empty());
    assert!(!detector.should_refuse("aa", START));
}

/// Guards against a wrong window between a broken run and the loss of its engine. The entry of a
/// silent engine expires seconds after its answers broke off; a much later loss has another cause.
#[test]
fn crash_detector_counts_loss_within_window() {
    for (delay_ms, counted) in [(5_000, 1), (7_000, 0)] {
        let mut detector = CrashDetector::new();
        record_broken_run(&mut detector, "aa", "e1", START);
        let crashed = detector.record_engine_loss("e1", START.plus(delay_ms));
        assert_eq!(crashed.len(), counted, "{delay_ms} ms after the broken run");
    }
}

/// Guards against a crash that is not counted because the process learned of the lost engine before
/// the connection was reset.
#[test]
fn crash_detector_counts_loss_before_broken_run() {
    let mut detector = CrashDetector::new();
    detector.record_engine_loss("e1", START);
    let crashed = record_broken_run(&mut detector, "aa", "e1", START.plus(300));
    assert_eq!(crashed, [crash("aa", "e1")]);
}

/// Guards against counting one crash twice. Requests without a body are often equal, so that one
/// crash breaks off several runs with the same fingerprint.
#[test]
fn crash_detector_equal_requests_count_once() {
    let mut detector = CrashDetector::new();
    for _ in 0..3 {
        record_broken_run(&mut detector, "aa", "e1", START);
    }
    assert_eq!(
        detector.record_engine_loss("e1", START),
        [crash("aa", "e1")]
    );
    record_broken_run(&mut detector, "aa", "e1", START);
    assert_eq!(detector.len(), 1);
    assert!(!detector.should_refuse("aa", START));
}

/// Guards against refusing a request that runs beside a crashing one on an engine that is lost.
#[test]
fn crash_detector_clears_neighbor_of_suspect() {
    let mut detector = CrashDetector::new();
    record_broken_run(&mut detector, "bad", "e1", START);
    detector.record_engine_loss("e1", START);
    record_broken_run(&mut detector, "bad", "e2", START);
    record_broken_run(&mut detector, "good", "e2", START);
    let crashed = detector.record_engine_loss("e2", START);
    assert_eq!(crashed, [crash("bad", "e2")]);
    assert!(detector.should_refuse("bad", START));
    assert!(!detector.should_refuse("good", START));
}

/// Guards against counting a crash once for each process that announces it.
#[test]
fn crash_detector_merge_counts_engine_once() {
    let mut detector = CrashDetector::new();
    assert!(detector.merge(&crash("aa", "e1"), START));
    assert!(!detector.merge(&crash("aa", "e1"), START));
    assert!(!detector.should_refuse("aa", START));
    assert!(detector.merge(&crash("aa", "e2"), START));
    assert!(detector.should_refuse("aa", START));
    assert_eq!(
        detector.take_reports(16, START),
        [crash("aa", "e1"), crash("aa", "e2")]
    );
}

/// Guards against refusing a request that was answered after a crash.
#[test]
fn crash_detector_clears_served_request() {
    let mut detector = CrashDetector::new();
    detector.merge(&crash("aa", "e1"), START);
    assert!(detector.clear_request("aa", START));
    assert!(
        !detector.clear_request("aa", START),
        "the request was cleared before"
    );
    detector.merge(&crash("aa", "e3"), START);
    assert!(!detector.should_refuse("aa", START));
}

/// Guards against counting an engine as lost that ran on, as its registration had lapsed, and against taking an
/// event that was on its way when the engine crashed for a sign of life.
#[test]
fn crash_detector_withdraws_answering_engine() {
    let sent_before = START;
    let crashed = START.plus(10);
    let sent_after = START.plus(20);
    for (sent_at, refused) in [(sent_before, true), (sent_after, false)] {
        // A refused part would explain the losses of its request.
        for parts in [vec![], vec![PromptPart::new("knots", "f1")]] {
            let mut detector = CrashDetector::new();
            for (engine, at) in [("e1", crashed), ("e2", crashed.plus(100))] {
                let engines = [engine.to_owned()];
                detector.record_broken_run("aa", &parts, &engines, RunPhase::Starting, at);
                detector.record_engine_loss(engine, at);
            }
            let now = START.plus(300);
            detector.record_engine_answer("e1", sent_at, now);
            assert_eq!(is_refused(&mut detector, &parts, now), refused);
            let is_new = detector.merge(&crash("aa", "e1"), now);
            assert!(!is_new, "a report of another process comes too late");
            assert_eq!(is_refused(&mut detector, &parts, now), refused);
        }
    }
}

/// Returns whether the request `aa` with these parts is refused.
fn is_refused(detector: &mut CrashDetector, parts: &[PromptPart], now: MilliTime) -> bool {
    let by_part = detector.parts().verdict(parts) == PartVerdict::Refused;
    by_part || detector.should_refuse("aa", now)
}

/// Guards against refusing a request long after it was last seen, and against expiring one that is
/// still sent. Crashes expire a minute after the last request.
#[test]
fn crash_detector_expires_unseen_requests() {
    let mut detector = CrashDetector::new();
    for engine in ["e1", "e2"] {
        detector.merge(&crash("aa", engine), START);
    }
    let last_seen = START.plus(50_000);
    assert!(detector.should_refuse("aa", last_seen));
    detector.expire(last_seen.plus(50_000));
    assert!(detector.should_refuse("aa", last_seen.plus(50_000)));
    let expired = last_seen.plus(50_000 + 60_001);
    detector.expire(expired);
    assert!(!detector.should_refuse("aa", expired));
    assert!(detector.is_empty());
}

/// Records that an engine is lost and breaks off an established run of a request.
fn lose_established(detector: &mut CrashDetector, fingerprint: &str, engine: &str, now: MilliTime) {
    let engines = [engine.to_owned()];
    detector.record_broken_run(fingerprint, &[], &engines, RunPhase::Established, now);
    detector.record_engine_loss(engine, now);
}

/// Guards against a request that crashes its engines late in its answer and is never found, and against refusing
/// a sound stream that was on three lost engines.
#[test]
fn crash_detector_counts_pairs_of_established_runs() {
    let mut detector = CrashDetector::new();
    for engine in ["e1", "e2", "e3"] {
        lose_established(&mut detector, "aa", engine, START);
        assert!(!detector.should_refuse("aa", START), "{engine}");
    }
    lose_established(&mut detector, "aa", "e4", START);
    assert!(detector.should_refuse("aa", START));
}

/// Has processes report all that they announce to each other.
fn exchange_reports(detectors: &mut [CrashDetector], now: MilliTime) {
    // What a process learns may have it announce more.
    for _ in 0..2 {
        for sender in 0..detectors.len() {
            let crashes = detectors[sender].take_reports(usize::MAX, now);
            let late = detectors[sender].take_late_reports(usize::MAX, now);
            for detector in detectors.iter_mut() {
                for crash in &crashes {
                    detector.merge(crash, now);
                }
                for crash in &late {
                    detector.merge_late(crash, now);
                }
            }
        }
    }
}

/// Guards against counting the second loss of both processes once because it is the same engine, so that six
/// engines are lost, and against refusing a stream that was on three lost engines.
#[test]
fn crash_detector_counts_late_engines_of_all_processes() {
    let mut detectors = [CrashDetector::new(), CrashDetector::new()];
    for (engine, processes) in [("e1", [0].as_slice()), ("e2", &[1]), ("e3", &[0, 1])] {
        for process in processes {
            lose_established(&mut detectors[*process], "aa", engine, START);
        }
        exchange_reports(&mut detectors, START);
        for detector in &mut detectors {
            assert!(!detector.should_refuse("aa", START), "{engine}");
        }
    }
    lose_established(&mut detectors[0], "aa", "e4", START);
    exchange_reports(&mut detectors, START);
    for detector in &mut detectors {
        assert!(detector.should_refuse("aa", START));
    }
}

/// Guards against more than four engines that a request crashes late in its answer, and against refusing requests
/// that were on at most three of them.
///
/// Requests come at two processes, and each crash is known before the next request comes. A process may have given up
/// a run of the request on an engine that the run of the other one crashes.
#[test]
fn crash_detector_random_late_crashes() {
    for seed in 0..10_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut detectors = [CrashDetector::new(), CrashDetector::new()];
        let mut now = START;
        let mut crashes = 0;
        for turn in 0..30 {
            now = now.plus(random.random_range(50..400));
            let own = random.random_range(0..detectors.len());
            if detectors[own].should_refuse("bad", now) {
                continue;
            }
            crashes += 1;
            let engine = format!("e{turn}");
            let has_other = random.random_bool(0.3);
            for (process, detector) in detectors.iter_mut().enumerate() {
                let engines = [engine.clone()];
                let phase = RunPhase::Established;
                if process == own || has_other {
                    detector.record_broken_run("bad", &[], &engines, phase, now);
                }
                if process == own && turn < 3 {
                    detector.record_broken_run("good", &[], &engines, phase, now);
                }
                detector.record_engine_loss(&engine, now);
            }
            exchange_reports(&mut detectors, now);
            for detector in &mut detectors {
                assert!(!detector.should_refuse("good", now), "seed {seed}");
            }
        }
        assert!(crashes <= 4, "seed {seed}: {crashes} engines crashed");
    }
}

/// Guards against counting established runs of a request that was served since, long ago, or on an engine that
/// ran on.
#[test]
fn crash_detector_forgets_established_runs() {
    let lose = |detector: &mut CrashDetector, engine: &str, now| {
        lose_established(detector, "aa", engine, now);
    };
    let later = START.plus(61_000);
    let forget: [fn(&mut CrashDetector, MilliTime); 3] = [
        |detector, now| {
            detector.clear_request("aa", now);
        },
        |detector, now| detector.expire(now),
        |detector, now| detector.record_engine_answer("e1", now, now),
    ];
    for (index, forget) in forget.into_iter().enumerate() {
        let mut detector = CrashDetector::new();
        lose(&mut detector, "e1", START);
        forget(&mut detector, later);
        lose(&mut detector, "e2", later);
        assert_eq!(detector.len(), 0, "case {index}");
    }
}

/// Guards against blaming a prompt part for the loss of an engine that had long been answering its request.
#[test]
fn crash_detector_blames_no_part_of_established_runs() {
    let parts = [PromptPart::new("knots", "f1")];
    for (phase, verdict) in [
        (RunPhase::Starting, PartVerdict::Refused),
        (RunPhase::Established, PartVerdict::Clear),
    ] {
        let mut detector = CrashDetector::new();
        for (number, engine) in ["e1", "e2"].into_iter().enumerate() {
            let now = START.plus(number as u64 * 100);
            let fingerprint = format!("r{number}");
            detector.record_broken_run(&fingerprint, &parts, &[engine.to_owned()], phase, now);
            detector.record_engine_loss(engine, now);
        }
        assert_eq!(detector.parts().verdict(&parts), verdict, "{phase:?}");
    }
}

/// Guards against more than two crashes by one request, and against refusing other requests.
///
/// Several processes run a crashing request among others on engines that break off answers at
/// random, and announce crashes to each other. The crashing request takes down two engines and
/// those on which it runs before the announcements arrive; here they arrive at once. Requests that
/// ran on fewer than two lost engines must never be refused.
#[test]
fn crash_detector_random_schedules() {
    const PROCESSES: usize = 3;
    for seed in 0..10_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut detectors = vec![CrashDetector::new(); PROCESSES];
        let mut now = START;
        let mut crashes = 0;
        let mut crash_turns = Vec::new();
        for turn in 0..30 {
            now = now.plus(random.random_range(50..400));
            let engine = format!("e{turn}");
            let own = random.random_range(0..PROCESSES);
            let neighbors: Vec<String> = (0..3).map(|i| format!("good-{turn}-{i}")).collect();
            let is_bad = random.random_bool(0.5);
            if is_bad && !detectors[own].should_refuse("bad", now) {
                record_broken_run(&mut detectors[own], "bad", &engine, now);
                crash_turns.push(turn);
                crashes += 1;
                for neighbor in &neighbors {
                    record_broken_run(&mut detectors[own], neighbor, &engine, now);
                }
                // All processes learn of the loss of the engine, in any order.
                for detector in &mut detectors {
                    detector.record_engine_loss(&engine, now);
                }
            } else {
                for neighbor in &neighbors {
                    record_broken_run(&mut detectors[own], neighbor, &engine, now);
                }
            }
            let announced = detectors[own].take_reports(usize::MAX, now);
            for detector in &mut detectors {
                for crash in &announced {
                    detector.merge(crash, now);
                }
                for neighbor in &neighbors {
                    assert!(
                        !detector.should_refuse(neighbor, now),
                        "seed {seed}: {neighbor}"
                    );
                }
            }
        }
        assert!(
            crashes <= 2,
            "seed {seed}: {crashes} engines crashed, in turns {crash_turns:?}"
        );
    }
}

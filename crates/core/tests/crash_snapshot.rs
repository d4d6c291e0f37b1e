//! Guards against crashes that are kept for too long or too short when processes tell each other of them or read them from
//! the store, and against sound requests that are refused because of it.

use dandelionroad_core::relay::CrashDetector;
use dandelionroad_core::relay::CrashSnapshot;
use dandelionroad_core::relay::EngineCrash;
use dandelionroad_core::relay::PartVerdict;
use dandelionroad_core::relay::PromptPart;
use dandelionroad_core::relay::RunPhase;
use dandelionroad_core::time::MilliTime;

const START: MilliTime = MilliTime::from_millis(100_000);

fn crash_of(fingerprint: &str, engine: &str) -> EngineCrash {
    EngineCrash {
        fingerprint: fingerprint.to_owned(),
        engine: engine.to_owned(),
    }
}

/// A detector that knows two crashes of the request `aa`.
fn detector_of_crasher() -> CrashDetector {
    let mut detector = CrashDetector::new();
    for engine in ["e1", "e2"] {
        assert!(detector.merge(&crash_of("aa", engine), START));
    }
    detector
}

fn stored(detector: &CrashDetector, now: MilliTime) -> CrashSnapshot {
    let text = serde_json::to_string(&detector.snapshot(now)).unwrap();
    serde_json::from_str(&text).unwrap()
}

/// A restart must not prolong a refusal: the time since the request came last goes on.
#[test]
fn restore_keeps_age() {
    let snapshot = stored(&detector_of_crasher(), START.plus(20_000)).aged(30_000);
    let now = MilliTime::from_millis(70_000);
    let restored = || {
        let mut started = CrashDetector::new();
        started.restore(&snapshot, START, now);
        started
    };
    assert!(restored().should_refuse("aa", now));
    let mut started = restored();
    started.expire(now.plus(10_100));
    assert!(!started.should_refuse("aa", now.plus(10_100)));
    let mut late = CrashDetector::new();
    late.restore(&snapshot.clone().aged(10_100), START, now);
    assert!(late.is_empty());
}

/// An engine that answered again is no lost one, whatever the store holds.
#[test]
fn restore_ignores_answering_engine() {
    let snapshot = stored(&detector_of_crasher(), START);
    let mut started = CrashDetector::new();
    started.restore(&snapshot, START, START);
    started.record_engine_answer("e1", START.plus(100), START.plus(150));
    started.restore(&snapshot, START, START.plus(200));
    assert_eq!(started.len(), 1);
}

/// A process that takes over reads a row of before a request was served. Guards against a request that is refused again,
/// and against crashes that are ignored since it was served.
#[test]
fn restore_ignores_request_served_since() {
    let snapshot = stored(&detector_of_crasher(), START);
    let served_at = START.plus(500);
    let restored = |taken_at| {
        let mut detector = detector_of_crasher();
        assert!(detector.clear_request("aa", served_at));
        detector.restore(&snapshot, taken_at, served_at.plus(500));
        detector.len()
    };
    assert_eq!(restored(START), 0);
    assert_eq!(restored(served_at.plus(100)), 2);
}

/// The requests that are refused must be in a snapshot, however many others ran on the engines that they crashed.
#[test]
fn snapshot_holds_refused_requests_first() {
    let mut detector = CrashDetector::new();
    for engine in ["e1", "e2"] {
        detector.merge(&crash_of("aa", engine), START);
    }
    for other in 0..300 {
        let crash = crash_of(&format!("other-{other}"), "e1");
        detector.merge(&crash, START.plus(1_000));
    }
    let snapshot = detector.snapshot(START.plus(1_000));
    assert!(snapshot.crashes.len() <= 128);
    let mut started = CrashDetector::new();
    started.restore(&snapshot, START, START.plus(1_000));
    assert!(started.should_refuse("aa", START.plus(1_000)));
}

/// A process to which a refused request doesn't come must keep its crashes while it comes to others, and must not announce
/// them itself, or processes would remind each other without end.
#[test]
fn merge_of_known_crash_renews_without_announcement() {
    let mut detector = detector_of_crasher();
    let crash = crash_of("aa", "e1");
    for seconds in 1..=90 {
        let now = START.plus(seconds * 1_000);
        assert!(!detector.merge(&crash, now), "it is known");
        detector.expire(now);
        if seconds > 10 {
            assert!(detector.take_reports(16, now).is_empty());
        }
    }
    assert_eq!(detector.len(), 2);
    let quiet = START.plus(90_000 + 60_100);
    detector.expire(quiet);
    assert!(detector.is_empty());
}

/// A part that is refused stays so, and one that was served before isn't refused because the reader doesn't know of it.
#[test]
fn snapshot_of_parts() {
    let [fatal, sound] = ["a", "b"].map(|id| PromptPart::new("knots", id));
    let mut detector = CrashDetector::new();
    detector.parts_mut().record_served(&[sound], START);
    for (index, engine) in ["e1", "e2"].into_iter().enumerate() {
        let now = START.plus(1_000 * (index as u64 + 1));
        detector.record_broken_run(
            engine,
            &[sound, fatal],
            &[engine.to_owned()],
            RunPhase::Starting,
            now,
        );
        detector.record_engine_loss(engine, now);
    }
    let now = START.plus(3_000);
    let snapshot = stored(&detector, now);
    let mut started = CrashDetector::new();
    started.restore(&snapshot, START, now);
    assert_eq!(started.parts().verdict(&[fatal]), PartVerdict::Refused);
    assert_eq!(started.parts().verdict(&[sound]), PartVerdict::Clear);
}

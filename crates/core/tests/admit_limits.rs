//! Guards against entries that together exceed an account's limit, retries that multiply the load, and
//! requests that crash more than two endpoints or block other requests of their account.

mod seeded;

use dandelionroad_core::admit::AccountLimiter;
use dandelionroad_core::admit::CrashLedger;
use dandelionroad_core::admit::CrashVerdict;
use dandelionroad_core::admit::RetryBudget;
use dandelionroad_core::ident::AccountName;
use dandelionroad_core::time::MilliTime;

use self::seeded::for_each_seed;

/// Spends one account's limit at three entries in random order: together they stay within it.
#[test]
fn account_limiter_bounds_sum_of_entries() {
    for_each_seed(100, |steps: &Vec<(u8, u8, u8)>| {
        let account = AccountName::parse("rope-works").unwrap();
        let mut limiters = vec![AccountLimiter::new(); 3];
        let mut now = MilliTime::from_millis(0);
        for limiter in &mut limiters {
            limiter.set_entries(3);
            limiter.set_account(&account, 100, 300, now);
        }
        let mut taken = 0;
        for (entry, units, gap) in steps {
            now = now.plus(u64::from(*gap));
            let limiter = &mut limiters[usize::from(entry % 3)];
            if limiter.take(&account, u64::from(*units % 100), now).is_ok() {
                taken += u64::from(*units % 100);
            }
        }
        let limit = 300 + now.as_millis() * 100 / 1_000;
        assert!(
            taken <= limit,
            "{taken} units taken, over the limit of {limit}"
        );
    });
}

/// Guards against an excess above the burst that is not paid off, and a retry at the returned time that
/// is refused again.
#[test]
fn account_limiter_refills_after_returned_time() {
    let account = AccountName::parse("rope-works").unwrap();
    let mut limiter = AccountLimiter::new();
    let start = MilliTime::from_millis(0);
    limiter.set_account(&account, 7, 100, start);
    assert_eq!(limiter.take(&account, 250, start), Ok(()));
    let wait_ms = limiter.take(&account, 50, start).unwrap_err();
    // 150 units above the burst and 50 more, at 7 a second.
    assert!(wait_ms >= 200_000 / 7, "{wait_ms} ms");
    assert!(limiter.take(&account, 50, start.plus(wait_ms - 2)).is_err());
    assert_eq!(limiter.take(&account, 50, start.plus(wait_ms)), Ok(()));
}

/// Mixes first attempts and retries at random: retries stay within the share and the burst.
#[test]
fn retry_budget_bounds_retries() {
    for_each_seed(200, |(percent, burst, steps): &(u8, u8, Vec<bool>)| {
        let mut budget = RetryBudget::new(u32::from(*percent), u32::from(*burst));
        let mut requests = 0;
        let mut retries = 0;
        for is_request in steps {
            if *is_request {
                budget.credit_request();
                requests += 1;
            } else {
                retries += usize::from(budget.take_retry());
            }
        }
        let limit = usize::from(*burst) + requests * usize::from(*percent) / 100;
        assert!(
            retries <= limit,
            "{retries} retries, over the limit of {limit}"
        );
    });
}

/// Returns whether a request may run, after storing its crashes if the store is up.
fn may_run(ledger: &mut CrashLedger, fingerprint: &str, is_store_up: bool) -> bool {
    if ledger.verdict(fingerprint) == CrashVerdict::PersistFirst && is_store_up {
        let runs = ledger.runs(fingerprint).to_vec();
        let runs: Vec<&str> = runs.iter().map(|(run, _)| run.as_str()).collect();
        ledger.merge(fingerprint, &runs, true);
    }
    matches!(
        ledger.verdict(fingerprint),
        CrashVerdict::Clear | CrashVerdict::Suspect
    )
}

/// Repeats a crashing request at three entries while other requests run, and returns the number of
/// crashes.
///
/// Every entry learns of a crash before the caller repeats the request.
fn crashes_of_repeats(steps: &[(u8, u8, bool)]) -> usize {
    let mut ledgers = vec![CrashLedger::new(); 3];
    let mut crashes = 0;
    for (number, (entry, neighbors, is_store_up)) in steps.iter().enumerate() {
        let ledger = &mut ledgers[usize::from(entry % 3)];
        if !may_run(ledger, "crasher", *is_store_up) {
            continue;
        }
        crashes += 1;
        let run = format!("r{number}/0");
        let mut others: Vec<String> = (0..neighbors % 5)
            .map(|index| format!("n{index}"))
            .collect();
        // An endpoint runs one suspect at a time.
        let is_suspect = ledger.verdict("crasher") == CrashVerdict::Suspect;
        others.retain(|other| !is_suspect || ledger.verdict(other) == CrashVerdict::Clear);
        let mut running = vec![("crasher", run.as_str())];
        running.extend(others.iter().map(|other| (other.as_str(), run.as_str())));
        ledger.record_crash(&running);
        for other in &others {
            let is_clear = ledger.verdict(other) == CrashVerdict::Clear;
            assert!(
                is_clear || !is_suspect,
                "{other} is blamed for a known suspect"
            );
            assert!(may_run(ledger, other, true), "{other} may not run");
            ledger.complete(other);
            assert_eq!(ledger.verdict(other), CrashVerdict::Clear);
        }
        for ledger in &mut ledgers {
            ledger.merge("crasher", &[&run], false);
        }
    }
    crashes
}

/// Guards against a request that crashes more than two endpoints when it is repeated at several entries
/// while the store is up or down.
#[test]
fn crash_ledger_limits_crasher_to_two_endpoints() {
    for_each_seed(300, |steps: &Vec<(u8, u8, bool)>| {
        assert!(crashes_of_repeats(steps) <= 2);
    });
}

/// Guards against running a request again after its first crash while the store is down and can't
/// record that crash.
#[test]
fn crash_ledger_holds_suspect_until_crash_is_stored() {
    let mut ledger = CrashLedger::new();
    ledger.record_start("aa");
    ledger.record_crash(&[("aa", "r1/0")]);
    ledger.record_end("aa");
    assert_eq!(ledger.verdict("aa"), CrashVerdict::PersistFirst);
    assert!(!may_run(&mut ledger, "aa", false));
    assert!(may_run(&mut ledger, "aa", true));
    ledger.record_start("aa");
    // A second copy of the suspect waits for the first one.
    assert_eq!(ledger.verdict("aa"), CrashVerdict::Wait);
    assert!(ledger.complete("aa"));
    assert!(ledger.is_empty());
}

/// Guards against a request that is refused after a single crash that several peers report.
#[test]
fn crash_ledger_counts_one_crash_once() {
    let mut ledger = CrashLedger::new();
    ledger.record_crash(&[("aa", "r1/0")]);
    ledger.merge("aa", &["r1/0"], false);
    ledger.merge("aa", &["r1/0"], true);
    assert_eq!(ledger.verdict("aa"), CrashVerdict::Suspect);
}

/// Guards against retries that are granted again each time the number of processes changes.
#[test]
fn retry_budget_set_burst_adds_no_retries() {
    let mut budget = RetryBudget::new(20, 30);
    let mut retries = 0;
    for _ in 0..50 {
        budget.set_burst(6);
        budget.set_burst(60);
        while budget.take_retry() {
            retries += 1;
        }
    }
    assert!(
        retries <= 30,
        "{retries} retries without a first attempt, over the burst of 30"
    );
}

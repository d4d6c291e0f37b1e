//! Decisions about calls that the random schedules of `dispatch_interleavings` do not check.

use dandelionroad_core::dispatch::CallAction;
use dandelionroad_core::dispatch::CallEvent;
use dandelionroad_core::dispatch::CallMachine;
use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::dispatch::CallReply;
use dandelionroad_core::dispatch::CallRow;
use dandelionroad_core::dispatch::CallState;
use dandelionroad_core::dispatch::CommitResult;
use dandelionroad_core::dispatch::DispatchAction;
use dandelionroad_core::dispatch::DispatchEvent;
use dandelionroad_core::dispatch::DispatchMachine;
use dandelionroad_core::dispatch::RetryAction;
use dandelionroad_core::dispatch::RetryEvent;
use dandelionroad_core::dispatch::RetryMachine;
use dandelionroad_core::dispatch::RowKey;
use dandelionroad_core::dispatch::RowSweep;
use dandelionroad_core::dispatch::RunnerIdent;
use dandelionroad_core::dispatch::ServiceResult;
use dandelionroad_core::dispatch::VersionedRow;
use dandelionroad_core::dispatch::call_fingerprint;
use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::ident::ServiceName;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;
use dandelionroad_core::time::MilliTime;

const NOW: MilliTime = MilliTime::from_millis(1_000);

fn key(attempt: u32) -> RowKey {
    RowKey {
        account: AccountName::parse("a").unwrap(),
        service: ServiceName::parse("s").unwrap(),
        key: "k".to_owned(),
        attempt,
    }
}

fn entry_machine() -> CallMachine {
    let (fingerprint, token) = ("print".to_owned(), "entry".to_owned());
    CallMachine::start(key(0), fingerprint, token, NOW.plus(1_000), true).0
}

fn endpoint_machine(attempt: u32) -> (DispatchMachine, Vec<DispatchAction>) {
    let order = CallOrder {
        request: RequestIdent::parse("r").unwrap(),
        account: AccountName::parse("a").unwrap(),
        weight: 1,
        priority: 0,
        service: ServiceName::parse("s").unwrap(),
        method: "POST".to_owned(),
        path: "/book".to_owned(),
        content_type: String::new(),
        body: String::new(),
        row: Some(key(attempt)),
        fingerprint: "print".to_owned(),
        deadline_in_ms: 1_000,
    };
    let runner = RunnerIdent {
        name: "e".to_owned(),
        address: String::new(),
        incarnation: 1,
    };
    DispatchMachine::start(&order, runner, "token".to_owned(), NOW).unwrap()
}

fn existing_row(row: CallRow) -> Option<VersionedRow> {
    Some(VersionedRow { version: 7, row })
}

fn dispatched_row() -> CallRow {
    CallRow::Dispatched {
        token: "token".to_owned(),
        runner: "e".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        incarnation: 1,
        fingerprint: "print".to_owned(),
        written_ms: 0,
    }
}

fn done_row(fingerprint: &str) -> CallRow {
    CallRow::Done {
        token: "token".to_owned(),
        fingerprint: fingerprint.to_owned(),
        status: 201,
        content_type: String::new(),
        body: "booked".to_owned(),
        in_object: false,
        written_ms: 0,
    }
}

fn void_row(written_ms: u64) -> CallRow {
    CallRow::Void {
        token: "other".to_owned(),
        is_refusal: false,
        written_ms,
    }
}

fn replayed_answer() -> Vec<CallAction> {
    vec![CallAction::Answer {
        status: 201,
        content_type: String::new(),
        body: "booked".to_owned(),
        replayed: true,
    }]
}

/// Guards against a different call that receives the answer of an earlier one with the same key.
#[test]
fn call_machine_reused_key_is_refused() {
    let actions = entry_machine().handle(CallEvent::RowRead(existing_row(done_row("other"))), NOW);
    let [
        CallAction::Refuse {
            outcome, reason, ..
        },
    ] = &actions[..]
    else {
        panic!("a reused key must be refused: {actions:?}");
    };
    assert_eq!(
        (*outcome, *reason),
        (RequestOutcome::NotRun, RefusalReason::KeyReused)
    );
    let actions = entry_machine().handle(CallEvent::RowRead(existing_row(done_row("print"))), NOW);
    assert_eq!(actions, replayed_answer());
}

/// Guards against `unknown` for a call that ended between the read of its row and the query to its
/// runner.
#[test]
fn call_machine_absent_runner_reads_row_again() {
    let mut machine = entry_machine();
    machine.handle(CallEvent::RowRead(existing_row(dispatched_row())), NOW);
    let running = CallEvent::RunnerQueried(Some(CallState::Running));
    let actions = machine.handle(running, NOW);
    assert!(
        matches!(actions[..], [CallAction::Wait { .. }]),
        "{actions:?}"
    );
    machine.handle(CallEvent::WaitElapsed, NOW);
    let actions = machine.handle(CallEvent::RunnerQueried(Some(CallState::Absent)), NOW);
    assert_eq!(actions, [CallAction::ReadRow(key(0))]);
    let actions = machine.handle(CallEvent::RowRead(existing_row(done_row("print"))), NOW);
    assert_eq!(actions, replayed_answer());
}

/// Guards against querying the service again for each repeated call: its first answer is recorded.
#[test]
fn call_machine_outcome_of_service_is_recorded() {
    let mut machine = entry_machine();
    machine.handle(CallEvent::RowRead(existing_row(dispatched_row())), NOW);
    machine.handle(CallEvent::RunnerQueried(None), NOW);
    let actions = machine.handle(CallEvent::RowRead(existing_row(dispatched_row())), NOW);
    assert_eq!(actions, [CallAction::QueryService]);
    let answer = ServiceResult::Answered {
        status: 200,
        content_type: String::new(),
        body: "booked".to_owned(),
    };
    let actions = machine.handle(CallEvent::ServiceQueried(answer), NOW);
    let [
        CallAction::Record(change),
        CallAction::Answer { replayed: true, .. },
    ] = &actions[..]
    else {
        panic!("the outcome must be recorded and answered: {actions:?}");
    };
    assert_eq!((change.version, change.row.token()), (Some(7), "token"));
}

/// Guards against dispatching a later attempt while the one before it can still run.
#[test]
fn dispatch_machine_needs_void_attempt_before() {
    for row in [
        None,
        existing_row(dispatched_row()),
        existing_row(done_row("print")),
    ] {
        let (mut machine, actions) = endpoint_machine(1);
        assert_eq!(actions, [DispatchAction::ReadRow(key(0))]);
        let actions = machine.handle(DispatchEvent::RowRead(row), NOW);
        assert!(
            !actions
                .iter()
                .any(|action| matches!(action, DispatchAction::Commit(_)))
        );
    }
    let (mut machine, _) = endpoint_machine(1);
    let actions = machine.handle(DispatchEvent::RowRead(existing_row(void_row(0))), NOW);
    let [DispatchAction::Commit(change)] = &actions[..] else {
        panic!("the attempt must be inserted: {actions:?}");
    };
    assert_eq!((change.version, change.previous_version), (None, Some(7)));
}

/// Guards against large answers in rows of the table service, and against outcomes that are lost
/// when the store fails once.
#[test]
fn dispatch_machine_large_outcome_is_recorded_after_failure() {
    let (mut machine, _) = endpoint_machine(0);
    machine.handle(DispatchEvent::CommitEnded(CommitResult::Committed), NOW);
    let body = "x".repeat(40_000);
    let answer = ServiceResult::Answered {
        status: 201,
        content_type: String::new(),
        body,
    };
    let actions = machine.handle(DispatchEvent::ServiceEnded(answer), NOW);
    let [
        DispatchAction::Reply(CallReply::Answered { .. }),
        DispatchAction::ReadRow(_),
    ] = &actions[..]
    else {
        panic!("the reply must not wait for the record: {actions:?}");
    };
    let actions = machine.handle(DispatchEvent::RowRead(existing_row(dispatched_row())), NOW);
    assert!(
        matches!(actions[..], [DispatchAction::StoreBody { .. }]),
        "{actions:?}"
    );
    machine.handle(DispatchEvent::BodyStored(true), NOW);
    machine.handle(DispatchEvent::RowRead(existing_row(dispatched_row())), NOW);
    let lost = DispatchEvent::CommitEnded(CommitResult::Lost);
    let actions = machine.handle(lost, NOW);
    assert!(
        matches!(actions[..], [DispatchAction::Wait { .. }]),
        "{actions:?}"
    );
    machine.handle(DispatchEvent::WaitElapsed, NOW);
    let actions = machine.handle(DispatchEvent::RowRead(existing_row(dispatched_row())), NOW);
    let [DispatchAction::Commit(change)] = &actions[..] else {
        panic!("the outcome must be recorded: {actions:?}");
    };
    assert!(
        matches!(
            &change.row,
            CallRow::Done {
                in_object: true,
                ..
            }
        ),
        "{change:?}"
    );
}

/// Guards against `not-run` for an idempotent call that an endpoint may have run.
#[test]
fn retry_machine_lost_reply_has_unknown_outcome() {
    let denied = || RetryEvent::ForwardDenied {
        reason: RefusalReason::NoEndpoint,
        retry_after_ms: 1,
    };
    let mut machine = RetryMachine::new();
    assert_eq!(
        machine.handle(RetryEvent::ForwardUnsent),
        RetryAction::Forward
    );
    let action = machine.handle(denied());
    let RetryAction::Refuse {
        outcome: RequestOutcome::NotRun,
        ..
    } = action
    else {
        panic!("nothing was sent: {action:?}");
    };
    let mut machine = RetryMachine::new();
    assert_eq!(machine.handle(RetryEvent::ReplyLost), RetryAction::Forward);
    let action = machine.handle(denied());
    let RetryAction::Refuse {
        outcome: RequestOutcome::Unknown,
        ..
    } = action
    else {
        panic!("the first endpoint may have run the call: {action:?}");
    };
}

/// Guards against deleting the void row of an early attempt while a later attempt is kept, after
/// which a repeated call would run again.
#[test]
fn row_sweep_keeps_keys_with_young_attempt() {
    let sweep = RowSweep::new(100);
    let rows = [
        ("call/a/s/6b/0", Some(void_row(0))),
        ("call/a/s/6b/1", Some(void_row(950))),
        ("call/a/s/6c/0", Some(void_row(0))),
        ("call/a/s/6c/1", Some(void_row(0))),
        ("call/a/s/6d/0", Some(void_row(0))),
    ];
    assert_eq!(sweep.expired(&rows, false, NOW), [2, 3]);
    assert_eq!(sweep.expired(&rows, true, NOW), [2, 3, 4]);
    let keys: Vec<&str> = rows.iter().map(|(key, _)| *key).collect();
    assert_eq!(sweep.resume_key(&keys, false), Some("call/a/s/6c/1"));
    assert_eq!(sweep.resume_key(&keys, true), None);
}

/// Guards against two calls that share a fingerprint because the boundary between two parts moved.
#[test]
fn call_fingerprint_separates_parts() {
    assert_ne!(
        call_fingerprint("POST", "/a", "b"),
        call_fingerprint("POST", "/ab", "")
    );
}

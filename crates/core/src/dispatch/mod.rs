/*!
Calls to plain services, which run at most once unless they are idempotent.

A caller may repeat a call after any failure, through another entry and another endpoint, and a
process may continue after a long pause; neither may cause a second run. Each attempt of a call that
is not idempotent therefore has a row in the table service. Only the process that inserted the row
as `dispatched` may send the call to the service. The row of an attempt that must never run is made
`void`, after which the next attempt may be dispatched. With the outcome the row becomes `done`, and
repeated calls with the same key are answered from it.

A [`CallMachine`] at the entry follows the rows of a key and forwards the call, and a
[`DispatchMachine`] at the endpoint runs one attempt. An idempotent call has no row; a
[`RetryMachine`] at the entry forwards it to one endpoint after another until one answers. The
machines do no I/O: their owners carry out the actions that they return and report the results as
events.

# Example: the first actions for a new key

```
use dandelionroad_core::dispatch::CallAction;
use dandelionroad_core::dispatch::CallEvent;
use dandelionroad_core::dispatch::CallMachine;
use dandelionroad_core::dispatch::RowKey;
use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::ServiceName;
use dandelionroad_core::time::MilliTime;

let key = RowKey {
    account: AccountName::parse("lilypad").unwrap(),
    service: ServiceName::parse("payments").unwrap(),
    key: "order-17".to_owned(),
    attempt: 0,
};
let now = MilliTime::from_millis(0);
let (token, fingerprint) = ("token".to_owned(), "fingerprint".to_owned());
let (mut machine, actions) =
    CallMachine::start(key.clone(), fingerprint, token, now.plus(1_000), true);
assert_eq!(actions, [CallAction::ReadRow(key.clone())]);
let actions = machine.handle(CallEvent::RowRead(None), now);
assert_eq!(actions, [CallAction::Forward(key)]);
```
*/

mod call_action;
mod call_event;
mod call_fingerprint;
mod call_machine;
mod call_order;
mod call_reply;
mod call_row;
mod call_state;
mod commit_result;
mod dispatch_action;
mod dispatch_event;
mod dispatch_machine;
mod retry_action;
mod retry_event;
mod retry_machine;
mod row_change;
mod row_key;
mod row_sweep;
mod runner_ident;
mod service_result;
mod versioned_row;

pub use self::call_action::CallAction;
pub use self::call_event::CallEvent;
pub use self::call_fingerprint::call_fingerprint;
pub use self::call_machine::CallMachine;
pub use self::call_order::CallOrder;
pub use self::call_reply::CallReply;
pub use self::call_row::CallRow;
pub use self::call_state::CallState;
pub use self::commit_result::CommitResult;
pub use self::dispatch_action::DispatchAction;
pub use self::dispatch_event::DispatchEvent;
pub use self::dispatch_machine::DispatchMachine;
pub use self::retry_action::RetryAction;
pub use self::retry_event::RetryEvent;
pub use self::retry_machine::RetryMachine;
pub use self::row_change::RowChange;
pub use self::row_key::RowKey;
pub use self::row_sweep::RowSweep;
pub use self::runner_ident::RunnerIdent;
pub use self::service_result::ServiceResult;
pub use self::versioned_row::VersionedRow;

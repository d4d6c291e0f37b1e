/*!
Calls to plain services: the messages, the row that makes a call run at most once, and the
decisions of the endpoint that runs a call and of the entry that follows it.

A call that is not idempotent is followed by a [`CallMachine`] at the entry and run by a
[`DispatchMachine`] at the endpoint. Both work on the rows of the call's key, one for each attempt,
and only the writer of a row `dispatched` may hand the call to the service. An idempotent call is
followed by a [`RetryMachine`] and has no row.

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
let (token, print) = ("token".to_owned(), "fingerprint".to_owned());
let (mut machine, actions) = CallMachine::start(key.clone(), print, token, now.plus(1_000), true);
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

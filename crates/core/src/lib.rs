/*!
The decision logic of dandelionroad: routing, admission, dispatch, membership and configuration.

This crate performs no I/O. Its state machines take events and a [`MilliTime`](time::MilliTime) as
input and return actions for the caller to carry out. Nothing in it reads a clock, draws a random
number, starts a thread or opens a socket; where a decision needs randomness, the seed is an
argument. The daemon, the benchmarks and the property tests therefore run the same code.

# Example

```
use dandelionroad_core::time::MilliTime;

let start = MilliTime::from_millis(1_000);
let later = start.plus(250);
assert_eq!(later.since(start), 250);
```
*/

pub mod admit;
pub mod chain;
pub mod config;
mod digest;
pub mod dispatch;
pub mod hex;
pub mod ident;
pub mod lease;
pub mod member;
pub mod order;
pub mod outcome;
pub mod relay;
pub mod route;
pub mod stream;
pub mod time;

/*!
The decisions of dandelionroad as a library without I/O.

Events and a [`MilliTime`](time::MilliTime) go in, actions come out. Nothing in this crate reads a
clock, draws a random number, starts a thread or opens a socket; where a choice needs randomness,
the seed is an argument. A daemon, a benchmark or a property test drives the same code.

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

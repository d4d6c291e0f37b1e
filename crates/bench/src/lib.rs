/*!
Measurements of the decisions of dandelionroad under load, in simulated milliseconds.

Small fakes of engines stand behind the same route choice and admission that the daemon uses. A
link is only a delay and a rate. Equal seeds give equal results.
*/

pub mod chain;
pub mod cost;
pub mod sim;

/*!
Simulations and measurements of the decisions of `dandelionroad-core`.

[`sim`] runs the routing and admission of the daemon, and [`chain`] the choice of chains of the relay,
against simulated engines in simulated time. A link is a delay and a rate. Equal seeds give equal results.
[`cost`] measures the time and the result size of single decisions.
*/

pub mod chain;
pub mod cost;
pub mod sim;

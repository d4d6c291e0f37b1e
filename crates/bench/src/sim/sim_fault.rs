use std::str::FromStr;

/// A fault of a run; it starts in the middle of the run unless stated otherwise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SimFault {
    /// No fault.
    None,
    /// Every tenth engine is lost.
    Loss,
    /// Load reports arrive five seconds late, from the start of the run.
    Lag,
    /// The rate of the link between two zones falls to 1%, in one direction.
    Link,
}

impl SimFault {
    /// All faults.
    pub const ALL: [SimFault; 4] = [
        SimFault::None,
        SimFault::Loss,
        SimFault::Lag,
        SimFault::Link,
    ];

    /// Returns the name on the command line.
    pub const fn as_str(self) -> &'static str {
        match self {
            SimFault::None => "none",
            SimFault::Loss => "loss",
            SimFault::Lag => "lag",
            SimFault::Link => "link",
        }
    }
}

impl FromStr for SimFault {
    type Err = String;

    fn from_str(text: &str) -> Result<SimFault, String> {
        let known = SimFault::ALL.map(SimFault::as_str);
        match known.iter().position(|name| *name == text) {
            Some(index) => Ok(SimFault::ALL[index]),
            None => Err(format!(
                "unknown fault {text:?}; use one of {}",
                known.join(", ")
            )),
        }
    }
}

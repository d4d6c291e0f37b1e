/// The demand of one process for a service at one priority, as processes report it to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedDemand {
    /// The low 32 bits of the hash of the service's name, `hash_text(0, name)`.
    pub service: u32,
    /// The hash of the name of the process's availability zone, `hash_text(0, zone)`.
    pub zone: u64,
    /// The priority of the requests, 0 first.
    pub priority: u8,
    /// The prompt and expected answer tokens of the requests that wait for capacity.
    pub waiting_tokens: f64,
    /// The tokens of the requests that arrived, per second, as a moving average.
    pub arriving_tokens: f64,
}

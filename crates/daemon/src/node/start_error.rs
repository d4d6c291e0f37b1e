use snafu::Snafu;

/// A reason why a process can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// A listener can't be bound.
    #[snafu(display("can't listen on {address}: {source}; choose a free address"))]
    Bind {
        /// The address.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A name in the settings is invalid.
    #[snafu(display("{source}; correct the setting"))]
    Name {
        /// What is wrong with the name.
        source: dandelionroad_core::ident::IdentError,
    },
    /// Two parts register the same internal method.
    #[snafu(display("an internal method is registered twice: {detail}; report this as a bug"))]
    Method {
        /// What the library said.
        detail: String,
    },
}

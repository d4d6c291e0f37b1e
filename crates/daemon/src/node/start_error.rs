use snafu::Snafu;

/// An error that keeps a process from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// A listener can't be bound.
    #[snafu(display("can't listen on {address}: {source}; choose a free address"))]
    Bind {
        /// The address, or the name of the listener.
        address: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The host or the availability zone in the settings is not a valid name.
    #[snafu(display("{source}; correct --host or --zone"))]
    Name {
        /// The fault of the name.
        source: dandelionroad_core::ident::IdentError,
    },
    /// Two modules register an internal method of the same name.
    #[snafu(display("an internal method is registered twice: {detail}; report this as a bug"))]
    Method {
        /// The error of the RPC library.
        detail: String,
    },
}

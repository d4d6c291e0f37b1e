use super::name_macro::define_name;

define_name!(
    /// The name of an endpoint: one engine or plain service with its dandelionroad process.
    EndpointName,
    "endpoint name",
    "a-z, 0-9 and -",
    |symbol| symbol.is_ascii_lowercase() || symbol.is_ascii_digit() || symbol == '-'
);

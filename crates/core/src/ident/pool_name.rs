use super::name_macro::define_name;

define_name!(
    /// The name of a pool of endpoints.
    PoolName,
    "pool name",
    "a-z, 0-9 and -",
    |symbol| symbol.is_ascii_lowercase() || symbol.is_ascii_digit() || symbol == '-'
);

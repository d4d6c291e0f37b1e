use super::name_macro::define_name;

define_name!(
    /// The identifier of one request, shared by logs, spans and messages.
    RequestIdent,
    "request identifier",
    "A-Z, a-z, 0-9 and -",
    |symbol| symbol.is_ascii_alphanumeric() || symbol == '-'
);

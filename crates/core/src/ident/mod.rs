/*!
Validated names and identifiers.

Every name that crosses a process boundary has one of these types, so that an invalid name is
rejected with an [`IdentError`] when the input is parsed.
*/

mod account_name;
mod endpoint_name;
mod host_name;
mod ident_error;
mod model_name;
mod name_macro;
mod pool_name;
mod request_ident;
mod service_name;
mod zone_name;

pub use self::account_name::AccountName;
pub use self::endpoint_name::EndpointName;
pub use self::host_name::HostName;
pub use self::ident_error::IdentError;
pub use self::model_name::ModelName;
pub use self::pool_name::PoolName;
pub use self::request_ident::RequestIdent;
pub use self::service_name::ServiceName;
pub use self::zone_name::ZoneName;

/*!
Clients of the outside systems: the table service, the object store, the host list, the model
engines and the plain services.

Each system has one client trait and one implementation over HTTP, which speaks the protocol of the
stand-ins. A deployment with another protocol implements the trait; the rest of dandelionroad does
not change. All clients return a [`PlatformError`], which states whether the call may have had an
effect.
*/

pub mod engine;
pub mod host;
pub mod object;
pub mod service;
pub mod table;

mod http_answer;
mod http_link;
mod platform_error;
mod whole_body;

pub use self::http_answer::HttpAnswer;
pub use self::http_link::HttpLink;
pub use self::http_link::encode_segment;
pub use self::platform_error::PlatformError;

/// The future that the methods of the client traits return; boxed, so that the traits can be used as
/// trait objects.
pub type ClientFuture<'a, T> = futures_util::future::BoxFuture<'a, Result<T, PlatformError>>;

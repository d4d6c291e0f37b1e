/*!
Clients of everything that is not part of dandelionroad: the table service, the object store, the
host list, the model engines and the plain services.

Each outside protocol stands behind one trait, with one HTTP adapter for the protocol that the
stand-ins speak. Another deployment brings another adapter; nothing else changes.
*/

pub mod engine;
pub mod host;
pub mod object;
pub mod service;
pub mod table;

mod http_answer;
mod http_link;
mod platform_error;

pub use self::http_answer::HttpAnswer;
pub use self::http_link::HttpLink;
pub use self::http_link::encode_segment;
pub use self::platform_error::PlatformError;

/// The future that the client traits return, so that they can be used as trait objects.
pub type ClientFuture<'a, T> = futures_util::future::BoxFuture<'a, Result<T, PlatformError>>;

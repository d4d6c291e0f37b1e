/*!
Clients of the object store.
*/

mod http_object;
mod object_client;

pub use self::http_object::HttpObject;
pub use self::object_client::ObjectClient;

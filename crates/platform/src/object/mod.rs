/*!
The object store.
*/

mod object_client;

pub use self::object_client::ObjectClient;

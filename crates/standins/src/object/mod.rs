/*!
The stand-in for the object store.
*/

mod object_standin;

pub use self::object_standin::ObjectStandin;

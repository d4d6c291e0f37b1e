/*!
The stand-ins that the binary serves, and its control listener.
*/

mod serve_options;
mod served_set;

pub use self::serve_options::ServeOptions;
pub use self::served_set::ServedSet;

/*!
Plain services.
*/

mod service_answer;
mod service_call;
mod service_client;

pub use self::service_answer::ServiceAnswer;
pub use self::service_call::ServiceCall;
pub use self::service_client::ServiceClient;

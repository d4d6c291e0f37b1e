/*!
Clients of plain services, which answer single calls and run no model.
*/

mod http_service;
mod service_answer;
mod service_call;
mod service_client;

pub use self::http_service::HttpService;
pub use self::service_answer::ServiceAnswer;
pub use self::service_call::ServiceCall;
pub use self::service_client::ServiceClient;

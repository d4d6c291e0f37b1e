//! Serves stand-ins of the outside systems until the process is ended.

use std::process::ExitCode;

use dandelionroad_standins::serve::ServeOptions;
use dandelionroad_standins::serve::ServedSet;

#[tokio::main]
async fn main() -> ExitCode {
    let options: ServeOptions = argh::from_env();
    match ServedSet::start(&options).await {
        Ok(served) => {
            for (name, url) in served.urls() {
                println!("{name} {url}");
            }
            std::future::pending().await
        }
        Err(error) => {
            eprintln!("standins: can't listen: {error}; choose free addresses");
            ExitCode::FAILURE
        }
    }
}

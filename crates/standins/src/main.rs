//! Serves stand-ins for the outside systems until the process is stopped, or generates load.

use std::process::ExitCode;

use dandelionroad_standins::serve::ServeOptions;
use dandelionroad_standins::serve::StandinSet;
use dandelionroad_standins::serve::StandinsAction;
use dandelionroad_standins::serve::StandinsCommand;

#[tokio::main]
async fn main() -> ExitCode {
    let command: StandinsCommand = argh::from_env();
    match command.action {
        StandinsAction::Serve(options) => serve(&options).await,
        StandinsAction::Load(load) => match load.run().await {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        },
    }
}

async fn serve(options: &ServeOptions) -> ExitCode {
    match StandinSet::start(options).await {
        Ok(set) => {
            for (name, url) in set.urls() {
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

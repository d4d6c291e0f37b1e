use std::io;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;

use crate::booking::BookingStandin;
use crate::engine::EngineStandin;
use crate::host::HostStandin;
use crate::object::ObjectStandin;
use crate::server::FaultPlan;
use crate::server::FaultSwitches;
use crate::server::StandinServer;
use crate::table::TableStandin;

use super::ServeOptions;

/// The running stand-ins of one process. They stop when the value is dropped.
pub struct StandinSet {
    urls: Vec<(String, String)>,
    /// Owns the servers, which stop when they are dropped.
    _standins: Vec<Box<dyn Send>>,
}

/// The fault switches of each stand-in by name.
type NamedFaults = Vec<(String, Arc<FaultSwitches>)>;

#[derive(Default)]
struct SetBuilder {
    urls: Vec<(String, String)>,
    faults: NamedFaults,
    standins: Vec<Box<dyn Send>>,
}

impl StandinSet {
    /// Starts the stand-ins and the control listener for which `options` give an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if an address can't be bound.
    pub async fn start(options: &ServeOptions) -> io::Result<StandinSet> {
        let mut builder = SetBuilder::default();
        if let Some(address) = options.table {
            let standin = TableStandin::start(address).await?;
            builder.add("table", standin.url(), standin.faults().clone(), standin);
        }
        if let Some(address) = options.object {
            let standin = ObjectStandin::start(address).await?;
            builder.add("object", standin.url(), standin.faults().clone(), standin);
        }
        if let Some(address) = options.hosts {
            let standin = HostStandin::start(address).await?;
            builder.add("hosts", standin.url(), standin.faults().clone(), standin);
        }
        for (index, address) in options.booking.iter().enumerate() {
            let standin = BookingStandin::start(*address).await?;
            let name = format!("booking-{index}");
            builder.add(&name, standin.url(), standin.faults().clone(), standin);
        }
        for (index, spec) in options.engine.iter().enumerate() {
            let standin = EngineStandin::start(spec.options.clone()).await?;
            builder
                .urls
                .push((format!("engine-{index}"), standin.url()));
            builder.standins.push(Box::new(standin));
        }
        if let Some(address) = options.control {
            let router = Router::new()
                .route("/control/{name}", get(read_plan).put(write_plan))
                .with_state(Arc::new(builder.faults.clone()));
            let faults = Arc::new(FaultSwitches::new());
            let server = StandinServer::start(address, faults, router).await?;
            builder.urls.push(("control".to_owned(), server.url()));
            builder.standins.push(Box::new(server));
        }
        Ok(StandinSet {
            urls: builder.urls,
            _standins: builder.standins,
        })
    }

    /// Returns the name and the base URL of each stand-in, and of the control listener.
    pub fn urls(&self) -> &[(String, String)] {
        &self.urls
    }
}

impl SetBuilder {
    fn add<T: Send + 'static>(
        &mut self,
        name: &str,
        url: String,
        faults: Arc<FaultSwitches>,
        standin: T,
    ) {
        self.urls.push((name.to_owned(), url));
        self.faults.push((name.to_owned(), faults));
        self.standins.push(Box::new(standin));
    }
}

fn find_switches<'a>(faults: &'a NamedFaults, name: &str) -> Result<&'a FaultSwitches, StatusCode> {
    let found = faults.iter().find(|(known, _)| known == name);
    found
        .map(|(_, switches)| &**switches)
        .ok_or(StatusCode::NOT_FOUND)
}

async fn read_plan(
    State(faults): State<Arc<NamedFaults>>,
    Path(name): Path<String>,
) -> Result<Json<FaultPlan>, StatusCode> {
    Ok(Json(find_switches(&faults, &name)?.plan()))
}

async fn write_plan(
    State(faults): State<Arc<NamedFaults>>,
    Path(name): Path<String>,
    Json(plan): Json<FaultPlan>,
) -> Result<StatusCode, StatusCode> {
    find_switches(&faults, &name)?.set(plan);
    Ok(StatusCode::NO_CONTENT)
}

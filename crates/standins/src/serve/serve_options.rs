use std::net::SocketAddr;

use argh::FromArgs;

use crate::engine::EngineSpec;

/// serve stand-ins of the outside systems; port 0 picks a free port. The first lines on standard
/// output name each stand-in and its URL
#[derive(Clone, Debug, Default, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeOptions {
    /// address of the table service
    #[argh(option)]
    pub table: Option<SocketAddr>,
    /// address of the object store
    #[argh(option)]
    pub object: Option<SocketAddr>,
    /// address of the host list; PUT /hosts replaces the list
    #[argh(option)]
    pub hosts: Option<SocketAddr>,
    /// address of a booking service; give the option again for more services
    #[argh(option)]
    pub booking: Vec<SocketAddr>,
    /// a model engine as ADDRESS,MODEL,LAYERS with LAYERS such as 0-8 or 12, optionally followed
    /// by ,STEP_US and ,PROMPT_TOKEN_US; give the option again for more; PUT /engine/faults and POST /engine/crash at its URL
    #[argh(option)]
    pub engine: Vec<EngineSpec>,
    /// address of the control listener: GET, PUT /control/NAME reads, sets the fault plan of NAME
    #[argh(option)]
    pub control: Option<SocketAddr>,
}

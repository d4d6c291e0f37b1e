use std::net::SocketAddr;

use argh::FromArgs;

use crate::engine::EngineSpec;

/// serve stand-ins for the outside systems; port 0 picks a free port. The first lines on standard
/// output give the name and the URL of each stand-in
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
    /// address of a booking service; repeat the option for more services
    #[argh(option)]
    pub booking: Vec<SocketAddr>,
    /// a model engine as ADDRESS,MODEL,LAYERS, where LAYERS is a range such as 0-8 or a number such
    /// as 12, optionally followed by ,STEP_US and ,PROMPT_TOKEN_US; repeat the option for more
    /// engines; PUT /engine/faults and POST /engine/crash at its URL inject faults
    #[argh(option)]
    pub engine: Vec<EngineSpec>,
    /// address of the control listener, where GET and PUT /control/NAME read and set the faults of
    /// a stand-in other than an engine
    #[argh(option)]
    pub control: Option<SocketAddr>,
}

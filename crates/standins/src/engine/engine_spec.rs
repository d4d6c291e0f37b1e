use std::net::SocketAddr;
use std::str::FromStr;

use dandelionroad_core::stream::LayerRange;

use super::EngineOptions;

/// An engine given on the command line, as `ADDRESS,MODEL,LAYERS[,STEP_US[,PROMPT_TOKEN_US]]`.
///
/// `LAYERS` is a range such as `0-8` for a layer-range engine, or the number of layers for a
/// whole-model engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// The parsed options; those that the text can't set have their defaults.
    pub options: EngineOptions,
}

impl FromStr for EngineSpec {
    type Err = String;

    fn from_str(text: &str) -> Result<EngineSpec, String> {
        parse(text).ok_or_else(|| {
            format!("invalid engine {text:?}; use ADDRESS,MODEL,LAYERS[,STEP_US[,PROMPT_TOKEN_US]]")
        })
    }
}

fn parse(text: &str) -> Option<EngineSpec> {
    let mut parts = text.split(',');
    let listen: SocketAddr = parts.next()?.parse().ok()?;
    let model = parts.next().filter(|model| !model.is_empty())?;
    let layers = parts.next()?;
    let mut options = match layers.split_once('-') {
        Some((first, end)) => {
            let range = LayerRange::new(first.parse().ok()?, end.parse().ok()?);
            EngineOptions::layer_range(model, range)
        }
        None => EngineOptions::whole_model(model, layers.parse().ok()?),
    };
    options.listen = listen;
    for target in [&mut options.step_us, &mut options.prompt_token_us] {
        if let Some(part) = parts.next() {
            *target = part.parse().ok()?;
        }
    }
    let is_valid = !options.range.is_empty() && parts.next().is_none();
    is_valid.then_some(EngineSpec { options })
}

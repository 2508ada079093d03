//! Command line of the daemon.

use std::path::PathBuf;

use argh::FromArgs;

use crate::error::StartError;
use crate::forward::settings::ForwardSettings;
use crate::settings::Settings;

/// Routes requests to prefill and decode engines and to plain services.
#[derive(FromArgs)]
struct Arguments {
    /// path of the settings file (YAML)
    #[argh(option)]
    settings: Option<PathBuf>,

    /// path of the settings file (YAML) of an instance that forwards calls to servers that
    /// register themselves
    #[argh(option)]
    forward: Option<PathBuf>,

    /// print the version
    #[argh(switch)]
    version: bool,
}

/// Mode of the daemon, with its checked settings.
pub enum Mode {
    /// Serve the product's own interface.
    Route(Box<Settings>),
    /// Forward calls to servers that register themselves; the path is that of the settings file,
    /// which is read again on SIGHUP.
    Forward(PathBuf, Box<ForwardSettings>),
}

/// Parses the command line and reads the settings; exits after printing help or the version.
pub fn parse() -> Result<Mode, StartError> {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("turmericrail {}", env!("CARGO_PKG_VERSION"));
        std::process::exit(0);
    }
    match (arguments.settings, arguments.forward) {
        (Some(path), None) => Ok(Mode::Route(Box::new(Settings::read(&path)?))),
        (None, Some(path)) => {
            let settings = ForwardSettings::read(&path)?;
            Ok(Mode::Forward(path, Box::new(settings)))
        }
        (None, None) => Err(StartError::NoSettings),
        (Some(_), Some(_)) => Err(StartError::TwoSettings),
    }
}

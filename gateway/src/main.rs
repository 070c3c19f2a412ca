//! The gateway daemon's command line.
use argh::FromArgs;
use larchway_gateway::{config, net::Gateway};
use std::process::ExitCode;

/// The gateway in front of the cache boxes.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Version(Version),
    CheckConfig(CheckConfig),
}

/// Serve, as EDGE_CONFIG, EDGE_NAME and EDGE_LISTEN say, until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Read the configuration as serve would, and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {}

fn serve() -> Result<(), String> {
    Gateway::new(config::from_env()?)?.run()
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let done = match args.command {
        Command::Serve(_) => serve(),
        Command::Version(_) => {
            println!("larchway {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig(_) => config::from_env().map(|c| println!("{} is well configured", c.name)),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("larchway: {why}");
            ExitCode::FAILURE
        }
    }
}

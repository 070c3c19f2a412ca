//! The gateway daemon's program.
mod cli;

use larchway_gateway::logging;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: cli::Args = argh::from_env();
    logging::install();
    match cli::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("larchway: {error}");
            error.exit_code()
        }
    }
}

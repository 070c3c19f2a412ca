//! The laboratory's command line.
mod command_error;

use argh::FromArgs;
use command_error::{CommandError, MAX_ENSEMBLE_SERVERS};
use larchway_distribution::subscriber::SourceKind;
use larchway_gateway::logging;
use larchway_gateway::{config::Files, net::Gateway, relay::RelayDaemon};
use larchway_lab::capacity::page::PageFiles;
use larchway_lab::followers;
use larchway_lab::hollow::swarm;
use larchway_lab::stand::ensemble::{command, EnsembleServers};
use larchway_lab::stand::source;
use larchway_lab::trial;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The laboratory: stand-ins with scripted faults, and trials of what the daemon does with them. All on loopback.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Trial(Trial),
    Ensemble(Ensemble),
    Daemon(Daemon),
    Capacity(Capacity),
    Source(SourceArgs),
    Relay(Relay),
    Swarm(SwarmArgs),
    Followers(Followers),
}

/// Play a trial: failures against real processes, a table of figures; exits with 1 if a stated bound is broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "trial")]
struct Trial {
    /// which: membership, hierarchy, upgrade, spread, fleet, cold, capacity, distribution, configuration
    #[argh(positional)]
    name: String,
    /// decides on times and objects (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// where to write all figures as one JSON object
    #[argh(option)]
    json: Option<PathBuf>,
    /// only the case of this name
    #[argh(option)]
    case: Option<String>,
}

/// Run the stand-in ensemble alone. Its first lines name its servers' addresses; faults are read as lines from the
/// standard input (a wrong one names those that there are), and it ends with the input.
#[derive(FromArgs)]
#[argh(subcommand, name = "ensemble")]
struct Ensemble {
    /// address of the first server, on loopback; port 0 takes any
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// how many servers (default 3); the others take any port
    #[argh(option, default = "3")]
    servers: usize,
    /// as servers before 3.6, which know no lasting watches
    #[argh(switch)]
    old: bool,
}

/// Run hollow followers of events until the standard input ends, then print what they applied as one line of JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "followers")]
struct Followers {
    /// a source; several in order of preference, which each follower shuffles
    #[argh(option)]
    source: Vec<SocketAddr>,
    /// the sources are relays
    #[argh(switch)]
    relays: bool,
    /// how many followers
    #[argh(option)]
    count: usize,
    /// decides on orders and jitter
    #[argh(option)]
    seed: u64,
}

fn run_followers(args: &Followers) -> Result<(), CommandError> {
    let plan = followers::Plan {
        sources: args.source.clone(),
        kind: if args.relays { SourceKind::Relay } else { SourceKind::Plain },
        count: args.count,
        seed: args.seed,
    };
    let seen = followers::follow(&plan).map_err(CommandError::Followers)?;
    println!("{}", serde_json::to_string(&seen)?);
    Ok(())
}

/// Run a relay as `larchway relay` does; trials start their relays by it.
#[derive(FromArgs)]
#[argh(subcommand, name = "relay")]
struct Relay {
    /// file of the relay
    #[argh(option)]
    relay: String,
}

/// Run the daemon as `larchway serve` does; trials start their gateways by it.
#[derive(FromArgs)]
#[argh(subcommand, name = "daemon")]
struct Daemon {
    /// file of the ensemble
    #[argh(option)]
    ensemble: Option<String>,
    /// file of the second front
    #[argh(option)]
    signed: Option<String>,
    /// file of the gateway's own copies
    #[argh(option)]
    copies: Option<String>,
    /// file of the hierarchy
    #[argh(option)]
    hierarchy: Option<String>,
    /// file of the load's spread
    #[argh(option)]
    spread: Option<String>,
    /// file of the fleet
    #[argh(option)]
    fleet: Option<String>,
    /// file of the events
    #[argh(option)]
    events: Option<String>,
}

/// The capacity page.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct Capacity {
    #[argh(subcommand)]
    command: CapacityCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum CapacityCommand {
    Page(Page),
}

/// Write the tables of docs/CAPACITY.md anew from docs/capacity/slopes.json and docs/capacity/target.json.
#[derive(FromArgs)]
#[argh(subcommand, name = "page")]
struct Page {
    /// write nothing; exit with 1 if the page differs from what it should be
    #[argh(switch)]
    check: bool,
    /// the folder of the page (default docs)
    #[argh(option, default = "PathBuf::from(\"docs\")")]
    docs: PathBuf,
}

fn run_page(args: &Page) -> Result<bool, CommandError> {
    let files = PageFiles::under(&args.docs);
    let (text, fresh) = files.render().map_err(|error| CommandError::Capacity(error.to_string()))?;
    if args.check {
        if text != fresh {
            println!("{} differs from its figures: run larchway-lab capacity page", files.page.display());
        }
        return Ok(text == fresh);
    }
    write(&files.page, &fresh)?;
    Ok(true)
}

/// Run a source of numbered events alone, driven by JSON lines; trials start it.
#[derive(FromArgs)]
#[argh(subcommand, name = "source")]
struct SourceArgs {}

/// Run hollow followers of a source of events, driven by JSON lines; trials start them.
#[derive(FromArgs)]
#[argh(subcommand, name = "swarm")]
struct SwarmArgs {
    /// address of the source, on loopback
    #[argh(positional)]
    source: SocketAddr,
}

/// Writes a file.
fn write(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|source| CommandError::Write { path: path.to_path_buf(), source })
}

fn run_trial(args: &Trial) -> Result<bool, CommandError> {
    let outcome = trial::play(&args.name, args.seed, args.case.as_deref())?;
    print!("{}", outcome.table);
    if let Some(path) = &args.json {
        // A case of `capacity` played alone leaves the others in the file.
        let figures = match &args.case {
            Some(_) if args.name == "capacity" && path.exists() => {
                trial::capacity::with_other_cases(outcome.figures, path)
                    .map_err(|error| CommandError::Capacity(error.to_string()))?
            }
            _ => outcome.figures,
        };
        let text = serde_json::to_string_pretty(&figures)?;
        write(path, &(text + "\n"))?;
    }
    for bound in &outcome.broken {
        println!("BROKEN {bound}");
    }
    Ok(outcome.broken.is_empty())
}

fn run_ensemble(args: &Ensemble) -> Result<(), CommandError> {
    if !args.listen.ip().is_loopback() {
        return Err(CommandError::NotOnLoopback(args.listen));
    }
    if !(1..=MAX_ENSEMBLE_SERVERS).contains(&args.servers) {
        return Err(CommandError::EnsembleServers(args.servers));
    }
    let started = EnsembleServers::start(args.listen, args.servers);
    let ensemble = started.map_err(|source| CommandError::Listen { address: args.listen, source })?;
    ensemble.with(|ensemble| ensemble.supports_persistent_watches = !args.old);
    for address in &ensemble.servers {
        println!("{address}");
    }
    std::io::stdout().flush()?;
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        match command(&ensemble, &line) {
            _ if line.trim().is_empty() => {}
            Ok(done) => println!("{done}"),
            Err(why) => println!("error: {why}"),
        }
        std::io::stdout().flush()?;
    }
    Ok(())
}

fn run_relay(args: &Relay) -> Result<(), CommandError> {
    Ok(RelayDaemon::new(&args.relay).and_then(|mut relay| relay.run())?)
}

fn run_daemon(args: &Daemon) -> Result<(), CommandError> {
    let files = Files {
        signed: args.signed.clone(),
        ensemble: args.ensemble.clone(),
        hierarchy: args.hierarchy.clone(),
        copies: args.copies.clone(),
        spread: args.spread.clone(),
        fleet: args.fleet.clone(),
        events: args.events.clone(),
    };
    Ok(Gateway::new(files).and_then(|mut gateway| gateway.run())?)
}

/// Runs a command; false if a bound is broken or the page differs.
fn run(command: &Command) -> Result<bool, CommandError> {
    match command {
        Command::Trial(args) => return run_trial(args),
        Command::Capacity(Capacity { command: CapacityCommand::Page(args) }) => return run_page(args),
        Command::Ensemble(args) => run_ensemble(args)?,
        Command::Source(SourceArgs {}) => source::run()?,
        Command::Swarm(args) => swarm::run(args.source)?,
        Command::Followers(args) => run_followers(args)?,
        Command::Relay(args) => run_relay(args)?,
        Command::Daemon(args) => run_daemon(args)?,
    }
    Ok(true)
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    logging::install();
    match run(&args.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("larchway-lab: {error}");
            ExitCode::from(2)
        }
    }
}

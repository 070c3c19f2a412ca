//! The laboratory's command line.
use argh::FromArgs;
use larchway_distribution::subscriber::SourceKind;
use larchway_gateway::{config::Files, net::Gateway, relay::RelayDaemon};
use larchway_lab::followers;
use larchway_lab::stand::ensemble::{command, Keepers};
use larchway_lab::trial;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
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
    Relay(Relay),
    Followers(Followers),
}

/// Play a trial: failures against real processes, a table of figures; exits with 1 if a stated bound is broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "trial")]
struct Trial {
    /// which: membership, hierarchy, upgrade, spread, fleet, cold, capacity, distribution
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

fn run_followers(args: &Followers) -> Result<(), String> {
    let plan = followers::Plan {
        sources: args.source.clone(),
        kind: if args.relays { SourceKind::Relay } else { SourceKind::Plain },
        count: args.count,
        seed: args.seed,
    };
    let seen = followers::follow(&plan).map_err(|e| format!("followers: {e}"))?;
    println!("{}", serde_json::to_string(&seen).map_err(|e| e.to_string())?);
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

fn run_trial(args: &Trial) -> Result<bool, String> {
    let outcome = trial::play(&args.name, args.seed, args.case.as_deref())?;
    print!("{}", outcome.table);
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&outcome.figures).map_err(|e| e.to_string())?;
        std::fs::write(path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))?;
    }
    for bound in &outcome.broken {
        println!("BROKEN {bound}");
    }
    Ok(outcome.broken.is_empty())
}

fn run_ensemble(args: &Ensemble) -> Result<(), String> {
    if !args.listen.ip().is_loopback() {
        return Err(format!("--listen: {} is not on loopback", args.listen));
    }
    if !(1..=16).contains(&args.servers) {
        return Err(format!("--servers: {} is not from 1 to 16", args.servers));
    }
    let keepers = Keepers::start(args.listen, args.servers).map_err(|e| format!("{}: {e}", args.listen))?;
    keepers.with(|e| e.lasting = !args.old);
    for address in &keepers.servers {
        println!("{address}");
    }
    std::io::stdout().flush().map_err(|e| e.to_string())?;
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        match command(&keepers, &line) {
            _ if line.trim().is_empty() => {}
            Ok(done) => println!("{done}"),
            Err(why) => println!("error: {why}"),
        }
        std::io::stdout().flush().map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let done = match &args.command {
        Command::Trial(args) => run_trial(args),
        Command::Ensemble(args) => run_ensemble(args).map(|()| true),
        Command::Followers(args) => run_followers(args).map(|()| true),
        Command::Relay(args) => {
            RelayDaemon::new(&args.relay).and_then(|mut relay| relay.run()).map(|()| true)
        }
        Command::Daemon(args) => {
            let hierarchy = args.hierarchy.clone();
            let (signed, ensemble) = (args.signed.clone(), args.ensemble.clone());
            let (spread, fleet) = (args.spread.clone(), args.fleet.clone());
            let events = args.events.clone();
            let files = Files { signed, ensemble, hierarchy, copies: None, spread, fleet, events };
            Gateway::new(files).and_then(|mut gateway| gateway.run()).map(|()| true)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("larchway-lab: {why}");
            ExitCode::from(2)
        }
    }
}

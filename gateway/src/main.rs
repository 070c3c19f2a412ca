//! The gateway daemon's command line.
use argh::FromArgs;
use larchway_gateway::{admin, config, hierarchy, relay, signed, table, terms};
use larchway_gateway::{clock, net::Gateway};
use miniserde::json::{Number, Object, Value};
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
    Sign(Sign),
    CheckConfig(CheckConfig),
    Members(Members),
    Schema(Schema),
    Hierarchy(HierarchyArgs),
    Relay(Relay),
}

/// Pass numbered events on from their source, or from another relay, to subscribers, until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "relay")]
struct Relay {
    /// file of the relay
    #[argh(option)]
    relay: String,
}

/// Look at the hierarchy: that of a running instance, or a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "hierarchy")]
struct HierarchyArgs {
    #[argh(subcommand)]
    what: HierarchyCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum HierarchyCommand {
    Show(Show),
    Check(Check),
    Plan(Plan),
}

/// Ask a running instance: its epoch, the move under way, each parent's weight, as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// the admin socket that its file names
    #[argh(option)]
    socket: std::path::PathBuf,
}

/// Read a file and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the file
    #[argh(positional)]
    file: String,
}

/// Say what each change of a file would move, in which steps.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct Plan {
    /// the file
    #[argh(positional)]
    file: String,
}

/// Ask a running instance for its roster: each store, its state, why, from which source, how old.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
struct Members {
    /// the admin socket that its file names
    #[argh(option)]
    socket: std::path::PathBuf,
    /// as JSON, with the latest changes
    #[argh(switch)]
    json: bool,
}

/// Print the JSON schema of an operator file.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
struct Schema {
    /// which file: ensemble, hierarchy, copies, spread, fleet, events or relay
    #[argh(positional)]
    file: String,
}

/// Serve, as EDGE_CONFIG, EDGE_NAME and EDGE_LISTEN say, until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// file of the second front (signed URLs and tokens); without it, that front is off
    #[argh(option)]
    signed: Option<String>,
    /// file of the ensemble (ephemeral nodes); without it, the instance registers nowhere
    #[argh(option)]
    ensemble: Option<String>,
    /// file of the hierarchy; without it, all listed parents share all objects
    #[argh(option)]
    hierarchy: Option<String>,
    /// file of the gateway's own copies; without it, none are kept
    #[argh(option)]
    copies: Option<String>,
    /// file of the load's spread; without it, each gateway acts on what it sees alone
    #[argh(option)]
    spread: Option<String>,
    /// file of the fleet; without it, gateways know nothing of each other
    #[argh(option)]
    fleet: Option<String>,
    /// file of the events; without it, they come from the configuration's bulletin
    #[argh(option)]
    events: Option<String>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Read the configuration as serve would, and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// file of the second front
    #[argh(option)]
    signed: Option<String>,
    /// file of the ensemble
    #[argh(option)]
    ensemble: Option<String>,
    /// file of the hierarchy
    #[argh(option)]
    hierarchy: Option<String>,
    /// file of the gateway's own copies
    #[argh(option)]
    copies: Option<String>,
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

/// Issue a signed URL or a token for one object.
#[derive(FromArgs)]
#[argh(subcommand, name = "sign")]
struct Sign {
    /// file of the second front
    #[argh(option)]
    signed: String,
    /// what the link is for: /CLASS/FAMILY/OBJECT/PART
    #[argh(option)]
    path: String,
    /// seconds for which it holds (default 3600)
    #[argh(option, default = "3600")]
    expires_in: u64,
    /// unix second from which it holds
    #[argh(option)]
    not_before: Option<u64>,
    /// name of the key (default: the first one)
    #[argh(option)]
    key: Option<String>,
    /// method, GET (default, serves HEAD too) or HEAD
    #[argh(option, default = "String::from(\"GET\")")]
    method: String,
    /// a URI Signing token instead of a signed URL
    #[argh(switch)]
    token: bool,
}

fn serve(args: &Serve) -> Result<(), String> {
    let files = config::Files {
        signed: args.signed.clone(),
        ensemble: args.ensemble.clone(),
        hierarchy: args.hierarchy.clone(),
        copies: args.copies.clone(),
        spread: args.spread.clone(),
        fleet: args.fleet.clone(),
        events: args.events.clone(),
    };
    Gateway::new(files)?.run()
}

fn check(args: &CheckConfig) -> Result<(), String> {
    let files = config::Files {
        signed: args.signed.clone(),
        ensemble: args.ensemble.clone(),
        hierarchy: args.hierarchy.clone(),
        copies: args.copies.clone(),
        spread: args.spread.clone(),
        fleet: args.fleet.clone(),
        events: args.events.clone(),
    };
    println!("{} is well configured", files.read()?.config.name);
    Ok(())
}

fn sign(args: &Sign) -> Result<(), String> {
    let front = config::front_file(&args.signed)?;
    // Links name no class that the file does not allow, so its list is all that is needed here.
    let terms = terms::Terms { classes: front.classes.clone(), ..terms::Terms::default() };
    let text = |t: &str| Value::String(t.to_string());
    let number = |n: u64| Value::Number(Number::U64(n));
    let mut order = Object::new();
    order.insert("path".into(), text(&args.path));
    order.insert("expires_in".into(), number(args.expires_in));
    order.insert("method".into(), text(&args.method));
    order.insert("kind".into(), text(if args.token { "token" } else { "url" }));
    if let Some(at) = args.not_before {
        order.insert("not_before".into(), number(at));
    }
    if let Some(key) = &args.key {
        order.insert("key".into(), text(key));
    }
    let issued = signed::issue(&terms, &front, &Value::Object(order), clock::now() / 1_000_000);
    let (url, _) = issued.map_err(|(_, why)| why)?;
    println!("{url}");
    Ok(())
}

fn look(what: &HierarchyCommand) -> Result<(), String> {
    match what {
        HierarchyCommand::Show(args) => print!("{}", admin::ask(&args.socket, "hierarchy")?),
        HierarchyCommand::Check(args) => {
            let file = hierarchy::file(&args.file)?;
            println!("{} is well configured for {}", args.file, file.branch);
        }
        HierarchyCommand::Plan(args) => print!("{}", hierarchy::plan(&hierarchy::file(&args.file)?)?),
    }
    Ok(())
}

fn members(args: &Members) -> Result<(), String> {
    let told = admin::ask(&args.socket, "members")?;
    if args.json {
        print!("{told}");
        return Ok(());
    }
    print!("{}", table::members(&told)?);
    Ok(())
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let done = match args.command {
        Command::Serve(args) => serve(&args),
        Command::Sign(args) => sign(&args),
        Command::Version(_) => {
            println!("larchway {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig(args) => check(&args),
        Command::Members(args) => members(&args),
        Command::Hierarchy(args) => look(&args.what),
        Command::Relay(args) => relay::RelayDaemon::new(&args.relay).and_then(|mut daemon| daemon.run()),
        Command::Schema(args) => match args.file.as_str() {
            "ensemble" => Ok(config::ensemble_schema()),
            "hierarchy" => Ok(hierarchy::schema()),
            "copies" => Ok(config::copies_schema()),
            "spread" => Ok(config::spread_schema()),
            "fleet" => Ok(config::fleet_schema()),
            "events" => Ok(config::events_schema()),
            "relay" => Ok(relay::file::schema()),
            other => Err(format!(
                "there is no schema of {other:?}, only of ensemble, hierarchy, copies, spread, fleet, events and relay"
            )),
        }
        .map(|schema| println!("{schema}")),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("larchway: {why}");
            ExitCode::FAILURE
        }
    }
}

//! The command line: its arguments, and the commands that they call.
mod arguments;
mod endpoint_table;
mod error;

pub(crate) use arguments::Args;
pub(crate) use error::CommandError;

use arguments::{Command, HierarchyCommand, Members, Rollout, Sign};
use larchway_gateway::config::{self, Files};
use larchway_gateway::hierarchy::{HierarchyFile, MigrationPlan};
use larchway_gateway::membership::EnsembleSettings;
use larchway_gateway::net::Gateway;
use larchway_gateway::rollout::{self, Outcome, RolloutDriver};
use larchway_gateway::wire_settings::{ClassSettings, WireClass, WireSettings};
use larchway_gateway::{admin, clock, relay, signed};
use miniserde::json::{Number, Object, Value};

/// Runs the command that the arguments name, to its end.
pub(crate) fn run(args: Args) -> Result<(), CommandError> {
    match args.command {
        Command::Serve(args) => serve(args.into()),
        Command::Version(_) => print_version(),
        Command::Sign(args) => sign(&args),
        Command::CheckConfig(args) => check_config(&args.into()),
        Command::Members(args) => print_endpoints(&args),
        Command::Schema(args) => print_schema(&args.file),
        Command::Hierarchy(args) => inspect_hierarchy(&args.command),
        Command::Relay(args) => run_relay(&args.relay),
        Command::Rollout(args) => run_rollout(&args),
    }
}

fn serve(files: Files) -> Result<(), CommandError> {
    Gateway::new(files)?.run()?;
    Ok(())
}

fn run_relay(file: &str) -> Result<(), CommandError> {
    relay::RelayDaemon::new(file)?.run()?;
    Ok(())
}

fn run_rollout(args: &Rollout) -> Result<(), CommandError> {
    let relay = args.relay.parse().map_err(|_| CommandError::RelayAddress(args.relay.clone()))?;
    let mut out = std::io::stdout();
    match RolloutDriver::new(&args.plan, relay, &mut out)?.run()? {
        Outcome::Completed => Ok(()),
        Outcome::Halted => Err(CommandError::RolloutHalted),
        Outcome::RolledBack => Err(CommandError::RolledBack),
    }
}

fn print_version() -> Result<(), CommandError> {
    println!("larchway {}", env!("CARGO_PKG_VERSION"));
    Ok(())
}

fn check_config(files: &Files) -> Result<(), CommandError> {
    println!("{} is well configured", files.read()?.config.name);
    Ok(())
}

fn sign(args: &Sign) -> Result<(), CommandError> {
    let front = config::front_file(&args.signed)?;
    // Links name no class that the file does not allow, so its list is all that is needed here.
    let linked = front.classes.iter().map(|name| WireClass::current(name, &ClassSettings::default()));
    let wire_settings = WireSettings { classes: linked.collect(), ..WireSettings::default() };
    let issued = signed::issue(&wire_settings, &front, &issue_request(args), clock::unix_now().as_secs())?;
    println!("{}", issued.url);
    Ok(())
}

/// The request for a link, as an application would send it.
fn issue_request(args: &Sign) -> Value {
    let text = |text: &str| Value::String(text.to_string());
    let number = |number: u64| Value::Number(Number::U64(number));
    let mut request = Object::new();
    request.insert("path".into(), text(&args.path));
    request.insert("expires_in".into(), number(args.expires_in));
    request.insert("method".into(), text(&args.method));
    request.insert("kind".into(), text(if args.token { "token" } else { "url" }));
    if let Some(second) = args.not_before {
        request.insert("not_before".into(), number(second));
    }
    if let Some(key) = &args.key {
        request.insert("key".into(), text(key));
    }
    Value::Object(request)
}

/// Prints the endpoints of a running gateway.
fn print_endpoints(args: &Members) -> Result<(), CommandError> {
    let report = admin::query(&args.socket, "members")?;
    if args.json {
        print!("{report}");
    } else {
        print!("{}", endpoint_table::format(&report)?);
    }
    Ok(())
}

fn inspect_hierarchy(command: &HierarchyCommand) -> Result<(), CommandError> {
    match command {
        HierarchyCommand::Show(args) => print!("{}", admin::query(&args.socket, "hierarchy")?),
        HierarchyCommand::Check(args) => {
            let file = HierarchyFile::read(&args.file)?;
            println!("{} is well configured for {}", args.file, file.branch);
        }
        HierarchyCommand::Plan(args) => print!("{}", MigrationPlan::new(&HierarchyFile::read(&args.file)?)?),
    }
    Ok(())
}

/// Prints the JSON schema of the operator file of this name.
fn print_schema(file: &str) -> Result<(), CommandError> {
    let schema = match file {
        "ensemble" => EnsembleSettings::schema(),
        "hierarchy" => HierarchyFile::schema(),
        "copies" => config::copies_schema(),
        "spread" => config::spread_schema(),
        "fleet" => config::fleet_schema(),
        "events" => config::events_schema(),
        "relay" => relay::file::schema(),
        "rollout" => rollout::schema(),
        other => return Err(CommandError::UnknownSchema(other.to_string())),
    };
    println!("{schema}");
    Ok(())
}

//! The arguments of the command line. The doc comments of the commands and options are their help texts.
use argh::FromArgs;
use larchway_gateway::config::Files;
use std::path::PathBuf;

/// The gateway in front of the cache boxes.
#[derive(FromArgs)]
pub(crate) struct Args {
    #[argh(subcommand)]
    pub(super) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(super) enum Command {
    Serve(Serve),
    Version(Version),
    Sign(Sign),
    CheckConfig(CheckConfig),
    Members(Members),
    Schema(Schema),
    Hierarchy(HierarchyArgs),
    Relay(Relay),
    Rollout(Rollout),
}

/// Drive a staged change of configuration: prints each document to publish as a line of JSON, and goes on by what the
/// root relay reports. Ends with 0 once all gateways have applied it, 1 if it was halted or rolled back, 2 if the plan
/// cannot be used.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
pub(super) struct Rollout {
    /// file of the plan
    #[argh(option)]
    pub(super) plan: String,
    /// address of the root relay, with its port
    #[argh(option)]
    pub(super) relay: String,
}

/// Pass numbered events on from their source, or from another relay, to subscribers, until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "relay")]
pub(super) struct Relay {
    /// file of the relay
    #[argh(option)]
    pub(super) relay: String,
}

/// Look at the hierarchy: that of a running instance, or a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "hierarchy")]
pub(super) struct HierarchyArgs {
    #[argh(subcommand)]
    pub(super) command: HierarchyCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(super) enum HierarchyCommand {
    Show(Show),
    Check(Check),
    Plan(Plan),
}

/// Ask a running instance: its epoch, the move under way, each parent's weight, as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(super) struct Show {
    /// the admin socket that its file names
    #[argh(option)]
    pub(super) socket: PathBuf,
}

/// Read a file and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct Check {
    /// the file
    #[argh(positional)]
    pub(super) file: String,
}

/// Say what each change of a file would move, in which steps.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub(super) struct Plan {
    /// the file
    #[argh(positional)]
    pub(super) file: String,
}

/// Ask a running instance for its roster: each store, its state, why, from which source, how old.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
pub(super) struct Members {
    /// the admin socket that its file names
    #[argh(option)]
    pub(super) socket: PathBuf,
    /// as JSON, with the latest changes
    #[argh(switch)]
    pub(super) json: bool,
}

/// Print the JSON schema of an operator file.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
pub(super) struct Schema {
    /// which file: ensemble, hierarchy, copies, spread, fleet, events, relay or rollout
    #[argh(positional)]
    pub(super) file: String,
}

/// Serve, as EDGE_CONFIG, EDGE_NAME and EDGE_LISTEN say, until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub(super) struct Serve {
    /// file of the second front (signed URLs and tokens); without it, that front is off
    #[argh(option)]
    pub(super) signed: Option<String>,
    /// file of the ensemble (ephemeral nodes); without it, the instance registers nowhere
    #[argh(option)]
    pub(super) ensemble: Option<String>,
    /// file of the hierarchy; without it, all listed parents share all objects
    #[argh(option)]
    pub(super) hierarchy: Option<String>,
    /// file of the gateway's own copies; without it, none are kept
    #[argh(option)]
    pub(super) copies: Option<String>,
    /// file of the load's spread; without it, each gateway acts on what it sees alone
    #[argh(option)]
    pub(super) spread: Option<String>,
    /// file of the fleet; without it, gateways know nothing of each other
    #[argh(option)]
    pub(super) fleet: Option<String>,
    /// file of the events; without it, they come from the configuration's bulletin
    #[argh(option)]
    pub(super) events: Option<String>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub(super) struct Version {}

/// Read the configuration as serve would, and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
pub(super) struct CheckConfig {
    /// file of the second front
    #[argh(option)]
    pub(super) signed: Option<String>,
    /// file of the ensemble
    #[argh(option)]
    pub(super) ensemble: Option<String>,
    /// file of the hierarchy
    #[argh(option)]
    pub(super) hierarchy: Option<String>,
    /// file of the gateway's own copies
    #[argh(option)]
    pub(super) copies: Option<String>,
    /// file of the load's spread
    #[argh(option)]
    pub(super) spread: Option<String>,
    /// file of the fleet
    #[argh(option)]
    pub(super) fleet: Option<String>,
    /// file of the events
    #[argh(option)]
    pub(super) events: Option<String>,
}

/// Issue a signed URL or a token for one object.
#[derive(FromArgs)]
#[argh(subcommand, name = "sign")]
pub(super) struct Sign {
    /// file of the second front
    #[argh(option)]
    pub(super) signed: String,
    /// what the link is for: /CLASS/FAMILY/OBJECT/PART
    #[argh(option)]
    pub(super) path: String,
    /// seconds for which it holds (default 3600)
    #[argh(option, default = "3600")]
    pub(super) expires_in: u64,
    /// unix second from which it holds
    #[argh(option)]
    pub(super) not_before: Option<u64>,
    /// name of the key (default: the first one)
    #[argh(option)]
    pub(super) key: Option<String>,
    /// method, GET (default, serves HEAD too) or HEAD
    #[argh(option, default = "String::from(\"GET\")")]
    pub(super) method: String,
    /// a URI Signing token instead of a signed URL
    #[argh(switch)]
    pub(super) token: bool,
}

impl From<Serve> for Files {
    fn from(args: Serve) -> Self {
        let Serve { signed, ensemble, hierarchy, copies, spread, fleet, events } = args;
        Files { signed, ensemble, hierarchy, copies, spread, fleet, events }
    }
}

impl From<CheckConfig> for Files {
    fn from(args: CheckConfig) -> Self {
        let CheckConfig { signed, ensemble, hierarchy, copies, spread, fleet, events } = args;
        Files { signed, ensemble, hierarchy, copies, spread, fleet, events }
    }
}

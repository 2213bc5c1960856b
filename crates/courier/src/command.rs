//! The command line: subcommands and their output.

mod logging;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::error::ErrorKind;
use clap::{CommandFactory, Parser, Subcommand};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, watch};

use crate::config::Config;
use crate::journal::JournalContents;
use crate::relay;
use crate::settings_changes::{self, Change};

// Doc comments of the subcommands below are their texts in `meadowhold help`.
#[derive(Parser)]
#[command(
    name = "meadowhold",
    version,
    about = "meadowhold, a dispatcher of notifications to outside receivers"
)]
#[command(after_help = "RUST_LOG sets what is logged, to standard error (error, warn, info, debug).")]
#[command(
    override_usage = "meadowhold [serve | check | owed [FOLDER] | relay [FILE | status ADDRESS] | version | help]"
)]
#[command(disable_help_subcommand = true, propagate_version = true)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// run a courier, configured by $ROUTER_CONFIG and its fellows
    Serve,
    /// read the configuration, say what it holds, and end
    Check,
    /// list the mails that the journal in FOLDER (or $ROUTER_STATE) still owes
    Owed { folder: Option<PathBuf> },
    /// relay the list to many as FILE says, or say who follows the relay at ADDRESS
    #[command(args_conflicts_with_subcommands = true)]
    Relay {
        file: Option<PathBuf>,
        #[command(subcommand)]
        command: Option<RelayCommand>,
    },
    /// print the version
    Version,
    /// print this
    Help,
}

#[derive(Subcommand)]
#[command(disable_help_subcommand = true)]
enum RelayCommand {
    /// say which version the relay at ADDRESS holds, and where it is in force
    Status { address: SocketAddr },
}

/// Runs the subcommand that the arguments ask for. The first argument is the program's name.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> Result<(), String> {
    let arguments = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(e) => match e.kind() {
            ErrorKind::DisplayHelp => return help(),
            ErrorKind::DisplayVersion => return version(),
            _ => return Err(usage_error(&e)),
        },
    };
    match arguments.command {
        Some(Command::Serve) => serve(),
        Some(Command::Check) => check(),
        Some(Command::Owed { folder: Some(folder) }) => owed(&folder),
        Some(Command::Owed { folder: None }) => {
            owed(Path::new(&std::env::var_os("ROUTER_STATE").ok_or("ROUTER_STATE is not set")?))
        }
        Some(Command::Relay { command: Some(RelayCommand::Status { address }), .. }) => relay_status(address),
        Some(Command::Relay { file: Some(file), .. }) => relay(&file),
        Some(Command::Relay { .. }) => Err("relay needs FILE, or status ADDRESS; see meadowhold help".into()),
        Some(Command::Version) => version(),
        Some(Command::Help) | None => help(),
    }
}

/// The first line of clap's error, which names the invalid argument.
fn usage_error(error: &clap::Error) -> String {
    let text = error.to_string();
    let first = text.lines().next().unwrap_or_default();
    format!("{}; see meadowhold help", first.trim_start_matches("error: "))
}

fn help() -> Result<(), String> {
    print!("{}", Arguments::command().render_help());
    Ok(())
}

fn version() -> Result<(), String> {
    println!("meadowhold {}", env!("CARGO_PKG_VERSION"));
    Ok(())
}

fn serve() -> Result<(), String> {
    logging::start()?;
    let start = settings_changes::start().map_err(|error| error.to_string())?;
    let runtime = runtime()?;
    let ended = tokio::task::LocalSet::new().block_on(&runtime, async {
        // Installed before the journal or a socket is opened. From here on, these signals do not end the process by
        // themselves.
        let handler = |kind| signal(kind).map_err(|e| format!("cannot install a signal handler: {e}"));
        let (mut terminate, mut interrupt) =
            (handler(SignalKind::terminate())?, handler(SignalKind::interrupt())?);
        let mut hangup = handler(SignalKind::hangup())?;
        let (discovery, discovery_in) = watch::channel(start.config.discovery);
        let (changes, changes_in) = mpsc::unbounded_channel();
        tokio::task::spawn_local(async move {
            while hangup.recv().await.is_some() {
                reload(&changes, &discovery).await;
            }
        });
        let stop = async move {
            tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
        };
        crate::serve_with_changes(start, discovery_in, changes_in, stop).await.map_err(|e| e.to_string())
    });
    runtime.shutdown_background();
    ended
}

/// Reloads the configuration in a running courier, which applies its discovery address and, if it has a version, its
/// settings.
async fn reload(changes: &mpsc::UnboundedSender<Change>, discovery: &watch::Sender<SocketAddr>) {
    let (answer, reply) = oneshot::channel();
    let _ = changes.send(Change { offered: Config::reload(), answer });
    match reply.await {
        Ok(Some(Ok(address))) => {
            log::info!("configuration reloaded: discovery at {address}");
            discovery.send_if_modified(|now| std::mem::replace(now, address) != address);
        }
        // A file that is invalid or partly written changes nothing.
        Ok(Some(Err(error))) => log::error!("cannot reload the configuration: {error}"),
        // The configuration was rejected, which has been logged, or the courier ends.
        Ok(None) | Err(_) => {}
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())
}

fn relay(file: &Path) -> Result<(), String> {
    logging::start()?;
    let config = relay::config::Config::load(file).map_err(|error| error.to_string())?;
    let runtime = runtime()?;
    let ended = tokio::task::LocalSet::new().block_on(&runtime, async {
        let handler = |kind| signal(kind).map_err(|e| format!("cannot install a signal handler: {e}"));
        let (mut terminate, mut interrupt) =
            (handler(SignalKind::terminate())?, handler(SignalKind::interrupt())?);
        let mut hangup = handler(SignalKind::hangup())?;
        let (reloaded, reloaded_in) = watch::channel(None);
        let path = file.to_path_buf();
        tokio::task::spawn_local(async move {
            while hangup.recv().await.is_some() {
                match relay::config::Config::load(&path) {
                    Ok(config) => drop(reloaded.send_replace(Some(config))),
                    // A file that is invalid or partly written changes nothing.
                    Err(error) => log::error!("cannot reload the configuration: {error}"),
                }
            }
        });
        let stop = async move {
            tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
        };
        relay::run(config, reloaded_in, stop).await.map_err(|e| e.to_string())
    });
    runtime.shutdown_background();
    ended
}

fn relay_status(address: SocketAddr) -> Result<(), String> {
    let status = tokio::task::LocalSet::new().block_on(&runtime()?, relay::status::fetch(address));
    print!("{}", status.map_err(|e| format!("the relay at {address}: {e}"))?);
    Ok(())
}

fn check() -> Result<(), String> {
    let config = Config::from_environment().map_err(|error| error.to_string())?;
    let settings = &config.decoded.settings;
    println!("{} would serve at {}", config.name, config.listen);
    println!("list and notices: {}; journal: {}", config.discovery, config.state.display());
    if let Some(relays) = &config.relays {
        let relays: Vec<String> = relays.iter().map(ToString::to_string).collect();
        println!("the list by relays instead: {}", relays.join(", "));
    }
    println!(
        "{} slots, room for {} mails, {} queue classes",
        settings.slots,
        settings.max_mails,
        settings.classes.len()
    );
    println!("{} endpoints known, at version {}", config.known.endpoints.len(), config.known.index);
    if let Some(version) = config.version {
        println!("settings version {version}");
    }
    Ok(())
}

fn owed(folder: &Path) -> Result<(), String> {
    let loaded = JournalContents::load(folder);
    let (found, unread) = loaded.map_err(|e| format!("the journal in {}: {e}", folder.display()))?;
    for owed in found.owed.values() {
        let id = String::from_utf8_lossy(&owed.id);
        let state = match (owed.verdict, owed.in_flight, owed.first_run) {
            (Some(verdict), ..) => format!("given up, notice not yet heard: {verdict:?}"),
            (_, Some(_), _) => "a connect is out".to_string(),
            (_, _, Some(_)) => "waits, may have run".to_string(),
            _ => "waits, has not run".to_string(),
        };
        println!("{id} destination {} connects {} {state}", owed.destination, owed.connects);
    }
    println!("{} mails owed; {unread} bytes cannot be read", found.owed.len());
    Ok(())
}

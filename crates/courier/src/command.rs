//! The command line: sub-commands and what they print.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

use crate::config::Config;
use crate::journal::Found;

const HELP: &str = "\
meadowhold, a dispatcher of notifications to outside receivers

    meadowhold serve            run a courier, configured by $ROUTER_CONFIG and its fellows
    meadowhold check            read the configuration, say what it holds, and end
    meadowhold owed [FOLDER]    list the mails that the journal in FOLDER (or $ROUTER_STATE) still owes
    meadowhold version
    meadowhold help

RUST_LOG sets what is logged, to standard error (error, warn, info, debug).";

pub fn run(mut arguments: pico_args::Arguments) -> Result<(), String> {
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    if arguments.contains(["-V", "--version"]) {
        return version();
    }
    let command = arguments.subcommand().map_err(|e| e.to_string())?;
    let rest = arguments.finish();
    match (command.as_deref(), rest.as_slice()) {
        (Some("serve"), []) => serve(),
        (Some("check"), []) => check(),
        (Some("owed"), []) => {
            owed(&PathBuf::from(std::env::var_os("ROUTER_STATE").ok_or("ROUTER_STATE is not set")?))
        }
        (Some("owed"), [folder]) => owed(Path::new(folder)),
        (Some("version"), []) => version(),
        (Some("help") | None, []) => {
            println!("{HELP}");
            Ok(())
        }
        (Some(command), []) => Err(format!("no sub-command {command}; see meadowhold help")),
        (_, [first, ..]) => Err(format!("what is {}? See meadowhold help", first.to_string_lossy())),
    }
}

fn version() -> Result<(), String> {
    println!("meadowhold {}", env!("CARGO_PKG_VERSION"));
    Ok(())
}

fn serve() -> Result<(), String> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let config = Config::from_environment()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let ended = tokio::task::LocalSet::new().block_on(&runtime, async {
        // From here on, before anything is touched, none of these signals ends the process by itself.
        let handler = |kind| signal(kind).map_err(|e| format!("no signal can be heard: {e}"));
        let (mut terminate, mut interrupt) =
            (handler(SignalKind::terminate())?, handler(SignalKind::interrupt())?);
        let mut hangup = handler(SignalKind::hangup())?;
        let (discovery, discovery_in) = watch::channel(config.discovery);
        tokio::task::spawn_local(async move {
            while hangup.recv().await.is_some() {
                read_again(&discovery);
            }
        });
        let stop = async move {
            tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
        };
        crate::serve(config, discovery_in, stop).await.map_err(|e| e.to_string())
    });
    runtime.shutdown_background();
    ended
}

/// Of a configuration that is put in the place of the first, a running courier takes up where discovery is.
fn read_again(discovery: &watch::Sender<SocketAddr>) {
    match Config::again() {
        Ok(config) => {
            log::info!("the configuration is read anew: discovery at {}", config.discovery);
            discovery.send_if_modified(|now| std::mem::replace(now, config.discovery) != config.discovery);
        }
        // Guards against a file that is half written or wrong: nothing changes.
        Err(words) => log::error!("the configuration cannot be read anew: {words}"),
    }
}

fn check() -> Result<(), String> {
    let config = Config::from_environment()?;
    let set = &config.decoded.settings;
    println!("{} would serve at {}", config.name, config.listen);
    println!("list and notices: {}; journal: {}", config.discovery, config.state.display());
    println!("{} slots, room for {} mails, {} queue classes", set.slots, set.room, set.classes.len());
    println!("{} endpoints known, at version {}", config.known.endpoints.len(), config.known.index);
    Ok(())
}

fn owed(folder: &Path) -> Result<(), String> {
    let loaded = Found::load(folder);
    let (found, unread) = loaded.map_err(|e| format!("the journal in {}: {e}", folder.display()))?;
    for owed in found.owed.values() {
        let id = String::from_utf8_lossy(&owed.id);
        let state = match (owed.verdict, owed.out, owed.ran) {
            (Some(verdict), ..) => format!("given up, notice not yet heard: {verdict:?}"),
            (_, Some(_), _) => "a connect is out".to_string(),
            (_, _, Some(_)) => "waits, may have run".to_string(),
            _ => "waits, has not run".to_string(),
        };
        println!("{id} destination {} connects {} {state}", owed.dest, owed.connects);
    }
    println!("{} mails owed; {unread} bytes cannot be read", found.owed.len());
    Ok(())
}

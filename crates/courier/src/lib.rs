//! A courier: the I/O around the decisions of the `meadowhold` package. `serve` runs one. Each module has one task, and
//! the client side and the endpoint side are connected only through the exchange.
#![forbid(unsafe_code)]

pub mod audit;
pub mod clients;
pub mod clock;
pub mod command;
pub mod config;
pub mod discovery;
pub mod endpoints;
pub mod entries;
pub mod exchange;
pub mod files;
pub mod hollow;
pub mod http;
pub mod journal;
pub mod kept_settings;
pub mod late_requests;
pub mod link;
pub mod list_file;
pub mod members;
pub mod memory;
pub mod memory_budget;
pub mod notes;
pub mod notices;
pub mod numbers;
pub mod patience;
pub mod platform;
pub mod pool;
pub mod process_watch;
pub mod reader;
pub mod relay;
pub mod relays;
pub mod resp;
pub mod schedule;
pub mod settings_changes;
pub mod system_errors;
pub mod version;

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

use clients::Phase;
use clock::Clock;
use config::Config;
use exchange::{Exchange, Shared};
use journal::Journal;
use memory_budget::MemoryBudget;
use settings_changes::{Change, SettingsState, Start};

/// Checks an invariant: asserts it in debug builds, counts and logs a violation in release builds.
#[macro_export]
macro_rules! must {
    ($count:expr, $holds:expr, $words:expr) => {
        if !$holds {
            debug_assert!(false, $words);
            $count += 1;
            log::error!($words);
        }
    };
}

/// File descriptors reserved for the process itself, the journal, discovery and notices.
const RESERVED_DESCRIPTORS: usize = 32;
/// Connections that wait to be accepted. Beyond it the system drops requests for a connection, which clients repeat only a
/// second later.
const LISTEN_BACKLOG: u32 = 1024;
/// Periods of a shutdown, from the request on: new clients are accepted (`ACCEPT_PERIOD`), calls are started and the
/// last clients served (`CALL_START_PERIOD`), calls in flight are awaited (`CALL_WAIT_PERIOD`), and the notices are sent
/// of mails that expire before the next process begins its calls (`CALL_END_PERIOD`). The platform kills the process no
/// sooner than 3.7 s after the request.
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
const CALL_START_PERIOD: Duration = Duration::from_millis(2500);
const CALL_WAIT_PERIOD: Duration = Duration::from_millis(3100);
const CALL_END_PERIOD: Duration = Duration::from_millis(3400);
/// The next process starts 0.6 s after that kill.
const NEXT_PROCESS_DELAY: Duration = Duration::from_millis(4300);
const CLOCK_SAVE_INTERVAL: Duration = Duration::from_secs(60);
const CLOCK_RETRY_INTERVAL: Duration = Duration::from_secs(1);
const COUNTS_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Runs a courier within a `LocalSet` until `stop` completes and the calls in flight have ended. The list is read from,
/// and notices are sent to, the latest address in `discovery`.
pub async fn serve(
    config: Config,
    discovery: watch::Receiver<SocketAddr>,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let (_sender, changes) = mpsc::unbounded_channel();
    serve_with_changes(Start { config, state: SettingsState::default() }, discovery, changes, stop).await
}

/// Like `serve`, but applies changed configurations from `changes` while it runs.
pub async fn serve_with_changes(
    Start { config, state: mut settings }: Start,
    discovery: watch::Receiver<SocketAddr>,
    changes: mpsc::UnboundedReceiver<Change>,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let Config {
        name, listen, state, sockets, memory, disk, known, decoded, peers, relays, list_limits, ..
    } = config;
    let client_sockets = sockets / 3;
    let budget = MemoryBudget::of(memory, sockets);
    let limits = endpoints::Limits {
        connect_timeout: exchange::to_duration(decoded.settings.connection_timeout),
        idle_timeout: exchange::to_duration(decoded.settings.idle_timeout),
        max_connections: sockets - RESERVED_DESCRIPTORS - client_sockets,
        may_overlap: decoded.may_overlap,
        answer_memory: budget.answers,
    };
    // Bound first, so that a courier started twice by mistake fails before it touches any file.
    let bound = listen_for_clients(listen, &budget);
    let listener = bound.map_err(|e| io::Error::new(e.kind(), format!("cannot listen at {listen}: {e}")))?;
    let journal = Journal::open(&state, disk);
    let journal =
        journal.map_err(|e| io::Error::new(e.kind(), format!("the journal in {}: {e}", state.display())))?;
    // The folder is this process's own from here on.
    let clock = Clock::resume(&state);
    let (peer_notes, peer_notes_in) = mpsc::unbounded_channel();
    let membership = members::start(&name, peers.as_ref(), clock)?;
    let notes = match peers {
        None => None,
        Some(peers) => {
            let bound = UdpSocket::bind(peers.listen).await;
            let failed = |e: io::Error| {
                io::Error::new(e.kind(), format!("cannot listen for notes at {}: {e}", peers.listen))
            };
            Some((bound.map_err(failed)?, peers.others))
        }
    };
    let (orders, orders_in) = mpsc::unbounded_channel();
    let (notices, notices_in) = mpsc::unbounded_channel();
    let peer_notes = notes.is_some().then_some(peer_notes);
    let (push, seed) = (!decoded.settings.poll_list, decoded.settings.seed);
    let mut exchange = Exchange::with_clock(clock, decoded, journal, orders, notices, peer_notes);
    // Uses the list version of the configuration, not the saved one: if the registry has restarted its numbering, its
    // lists would be taken for older ones.
    let index = known.index;
    exchange.limit_message_bytes(budget.messages);
    exchange.restore_list(known, |kept| settings.accepts_list_of(kept));
    settings_changes::record_start(&mut exchange, &mut settings, &state, disk);
    let shared: Shared = Rc::new(RefCell::new(exchange));
    let (phase, phase_in) = watch::channel(Phase::Serving);
    let mut tasks = JoinSet::new();
    // Polled first, so that the time is on file before any mail is.
    tasks.spawn_local(keep_clock_saved(clock, state.clone()));
    tasks.spawn_local(exchange::run_turns(shared.clone()));
    tasks.spawn_local(endpoints::run(shared.clone(), orders_in, limits));
    tasks.spawn_local(notices::run(shared.clone(), discovery.clone(), notices_in));
    let limits = (list_limits, seed);
    match relays {
        None => tasks.spawn_local(discovery::follow(shared.clone(), clock, discovery, index, push, limits)),
        Some(relays) => {
            tasks.spawn_local(relays::follow_for(shared.clone(), clock, name.clone(), relays, index, limits))
        }
    };
    let clients = Rc::new(Cell::new(0));
    let listening = tasks.spawn_local(clients::listen(
        shared.clone(),
        listener,
        clients::Limits { sockets: client_sockets, input_memory: budget.client_input },
        clients.clone(),
        phase_in,
    ));
    tasks.spawn_local(log_counts(shared.clone()));
    tasks.spawn_local(process_watch::run(shared.clone(), budget.limit));
    tasks.spawn_local(settings_changes::follow(shared.clone(), settings, (state, disk), changes));
    if let Some((socket, others)) = notes {
        tasks.spawn_local(notes::run(shared.clone(), socket, others, peer_notes_in));
    }
    if let Some(membership) = &membership {
        tasks.spawn_local(membership.clone().run());
    }
    log::info!("{name} serves at {listen}");
    tokio::select! {
        () = stop => {}
        // A courier must not go on running without one of its tasks.
        _ = tasks.join_next() => return Err(io::Error::other("a part of the courier has failed")),
    }

    log::info!("{name} is shutting down: {} mails in hand", shared.borrow().in_hand());
    // Must come before `stop_requested`: the final turn, in `stop`, must not run before the end of the call start period
    // as the decisions know it.
    shared.borrow_mut().begin_shutdown(CALL_START_PERIOD, NEXT_PROCESS_DELAY);
    let stop_requested = Instant::now();
    // New clients and mails are accepted for as long as the platform still sends them here.
    phase.send_replace(Phase::Draining);
    sleep(ACCEPT_PERIOD).await;
    phase.send_replace(Phase::NotAccepting);
    // Waits for the clients as well: exiting would reset connections on which an answer is pending or in transit.
    let drained = |count: fn(&Exchange) -> usize| {
        let (shared, clients, listening) = (shared.clone(), clients.clone(), listening.clone());
        async move {
            while count(&shared.borrow()) + clients.get() > 0 || !listening.is_finished() {
                sleep(Duration::from_millis(5)).await;
            }
        }
    };
    let until = |period: Duration| period.saturating_sub(stop_requested.elapsed());
    let _ = timeout(until(CALL_START_PERIOD), drained(Exchange::in_hand)).await;
    shared.borrow_mut().stop();
    phase.send_replace(Phase::Closing);
    let _ = timeout(until(CALL_WAIT_PERIOD), drained(Exchange::unfinished)).await;
    shared.borrow_mut().expire_before_next_process();
    let _ = timeout(until(CALL_END_PERIOD), drained(Exchange::unfinished)).await;
    if let Some(membership) = membership {
        membership.leave().await;
    }
    let exchange = shared.borrow();
    log::info!("{name} has ended: {} mails in hand, {:?}", exchange.in_hand(), exchange.counts);
    Ok(())
}

/// Binds the clients' listener. Its connections inherit the size of the receive buffer.
fn listen_for_clients(address: SocketAddr, budget: &MemoryBudget) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if let Err(e) = socket.set_recv_buffer_size(budget.receive_buffer_setting()) {
        log::warn!("the receive buffers of clients cannot be limited: {e}");
    }
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Saves the time for the next process, and again from time to time: after a reboot only the system time tells how much has
/// passed since.
async fn keep_clock_saved(clock: Clock, folder: PathBuf) {
    loop {
        let saved = clock.save(&folder);
        saved.as_ref().err().into_iter().for_each(|e| log::debug!("the time cannot be saved: {e}"));
        sleep(if saved.is_ok() { CLOCK_SAVE_INTERVAL } else { CLOCK_RETRY_INTERVAL }).await;
    }
}

/// Logs the counts once a minute if they have changed.
async fn log_counts(shared: Shared) {
    let mut last = exchange::Counts::default();
    loop {
        sleep(COUNTS_LOG_INTERVAL).await;
        let exchange = shared.borrow();
        let (counts, in_hand) = (exchange.counts, exchange.in_hand());
        // The event loop's delays change all the time.
        if (exchange::Counts { process: last.process, ..counts }) != last {
            let versions = exchange.versions.summary(exchange.clock.now());
            let versions = versions.map(|summary| format!("; {summary}")).unwrap_or_default();
            log::info!("{in_hand} mails in hand, {counts:?}{versions}");
            last = counts;
        }
    }
}

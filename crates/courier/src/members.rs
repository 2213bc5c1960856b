//! Membership: which of the other couriers are up. Runs the membership protocol in a thread of its own and processes
//! its events. Without `peers.members` in the configuration there is neither a thread nor a socket.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use meadowhold_fleet::node::{Setup, Update};
use meadowhold_fleet::thread::{self, Command, Exit, Handle};
use meadowhold_fleet::view::{self, Change, Member, View};
use serde::Deserialize;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::clock::{to_duration, Clock};
use crate::config::Peers;

/// The planned fleet has 1,300 couriers; this allows half as many again. Bounds the memory that a courier uses for the
/// state of members.
pub const MAX_MEMBERS: usize = 2048;
/// How long a courier waits at its end for the leave message to be sent.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// UDP addresses of the membership protocol: this courier's and those of the others. Datagrams from other addresses
/// are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "MembersText")]
pub struct Members {
    pub listen: SocketAddrV4,
    pub others: Vec<SocketAddrV4>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MembersText {
    listen: String,
    others: Vec<String>,
}

impl TryFrom<MembersText> for Members {
    type Error = String;

    fn try_from(text: MembersText) -> Result<Members, String> {
        let one = |field: &str, text: &String| {
            let address: Result<SocketAddrV4, _> = text.parse();
            address.map_err(|_| format!("peers.members.{field} is not an IPv4 address and port: {text}"))
        };
        if text.others.len() > MAX_MEMBERS {
            return Err(format!("peers.members.others has more than {MAX_MEMBERS} addresses"));
        }
        let listen = one("listen", &text.listen)?;
        let others = text.others.iter().map(|other| one("others", other)).collect::<Result<_, _>>()?;
        // Other couriers cannot reach such an address.
        if listen.port() == 0 || listen.ip().is_unspecified() {
            return Err(format!(
                "peers.members.listen must be an address that other couriers can reach: {listen}"
            ));
        }
        Ok(Members { listen, others })
    }
}

pub struct Membership {
    handle: RefCell<Handle>,
    wake: Arc<Notify>,
    /// The thread has ended.
    ended: Cell<bool>,
}

/// Starts the thread if the configuration asks for it. A later process of a courier is known by a later clock.
pub fn start(name: &str, peers: Option<&Peers>, clock: Clock) -> io::Result<Option<Rc<Membership>>> {
    let Some(Members { listen, others }) = peers.and_then(|peers| peers.members.clone()) else {
        return Ok(None);
    };
    let now = to_duration(clock.now());
    let name = if name.is_empty() { listen.to_string() } else { name.to_string() };
    // The seed need not be secret, only different from that of other couriers: from the clock and the address.
    let seed = now.as_nanos() as u64 ^ u64::from(listen.ip().to_bits()).rotate_left(32);
    let start = now.as_millis() as u64;
    let setup = Setup { name: view::truncate_name(&name), at: listen, others, start, seed };
    let wake = Arc::new(Notify::new());
    let notify = wake.clone();
    let handle = thread::start(setup, move || notify.notify_one());
    let handle = handle.map_err(|e| {
        io::Error::new(e.kind(), format!("cannot listen for membership messages at {listen}: {e}"))
    })?;
    Ok(Some(Rc::new(Membership { handle: RefCell::new(handle), wake, ended: Cell::new(false) })))
}

impl Membership {
    /// Calls `read` with the current view of the members.
    pub fn with_view<R>(&self, read: impl FnOnce(&View) -> R) -> R {
        read(&self.handle.borrow().view)
    }

    /// Processes events as they arrive. Never returns, so that a courier goes on working if membership fails.
    pub async fn run(self: Rc<Membership>) {
        loop {
            self.wake.notified().await;
            self.process_events();
            // The thread sends its last wake-up just before it ends, so its end has to be polled for.
            while self.handle.borrow().is_closing() && !self.ended.get() {
                sleep(POLL_INTERVAL).await;
                self.process_events();
            }
        }
    }

    fn process_events(&self) {
        let mut handle = self.handle.borrow_mut();
        let now = (handle.start.elapsed().as_micros() / 100) as meadowhold_fleet::Time;
        while let Some(update) = handle.next_update() {
            match update {
                Update::Member(member, change) => {
                    handle.view.replace_member(now, &member);
                    log(&member, change);
                }
                Update::Partition { cut_off, tally, .. } => {
                    let (up, named) = (tally.up(), tally.configured());
                    match cut_off {
                        // At the start nothing has been heard of any other member yet.
                        true if tally.unknown + 1 == named => {}
                        true => log::warn!("cut off from the other couriers: {up} of {named} are up"),
                        false => log::info!("joined with the other couriers: {up} of {named} are up"),
                    }
                }
            }
        }
        match handle.try_join() {
            None => {}
            Some(Some(Exit { counts, fault })) => {
                log::info!("membership has ended: {counts:?}, {} requests lost", handle.lost_commands);
                if let Some(fault) = fault {
                    log::error!("membership: {fault}");
                }
                self.ended.set(true);
            }
            Some(None) => {
                log::error!("membership has failed; this courier continues without it");
                self.ended.set(true);
            }
        }
    }

    /// Tells the other couriers that this one leaves, and waits for the thread to end, up to `LEAVE_TIMEOUT`.
    pub async fn leave(&self) {
        self.handle.borrow_mut().send_command(Command::Leave);
        let ended = async {
            while !self.ended.get() {
                self.process_events();
                sleep(POLL_INTERVAL).await;
            }
        };
        if timeout(LEAVE_TIMEOUT, ended).await.is_err() {
            log::warn!("membership did not end within {LEAVE_TIMEOUT:?}");
        }
    }
}

fn log(member: &Member, change: Change) {
    let (name, at) = (member.name, member.at);
    match change {
        Change::Up => log::info!("member {name} at {at} is up"),
        Change::Recovered => log::info!("member {name} at {at} is back"),
        Change::Restarted => log::info!("member {name} at {at} has restarted"),
        Change::Down => log::info!("member {name} at {at} is down"),
        Change::Suspected => log::debug!("member {name} at {at} is suspected to be down"),
        Change::Cleared => log::debug!("member {name} at {at} is no longer suspected"),
        Change::Unchanged => {}
    }
}

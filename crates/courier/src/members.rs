//! Who is alive among the couriers: the thread that finds it out, and what comes from it. Without `peers.members` in
//! the configuration there is neither thread nor socket.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use meadowhold_fleet::node::{Setup, Update};
use meadowhold_fleet::thread::{self, Command, Exit, Handle};
use meadowhold_fleet::view::{self, Change, Member, View};
use serde::Deserialize;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::config::Peers;

/// The fleet that is planned for has 1,300; this leaves room for half as many again. Guards against a list by which what
/// is kept of each member takes a courier's memory.
pub const MOST_MEMBERS: usize = 2048;
/// The farewell to the others is waited for so long.
const FAREWELL: Duration = Duration::from_millis(100);
const LOOK: Duration = Duration::from_millis(2);

/// Where membership is spoken, by UDP: here, and at the others, who alone are listened to.
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
            address.map_err(|_| format!("peers.members.{field} is no IPv4 address and port: {text}"))
        };
        if text.others.len() > MOST_MEMBERS {
            return Err(format!("peers.members.others names more than {MOST_MEMBERS}"));
        }
        let listen = one("listen", &text.listen)?;
        let others = text.others.iter().map(|other| one("others", other)).collect::<Result<_, _>>()?;
        // Guards against addresses under which nobody can be known.
        if listen.port() == 0 || listen.ip().is_unspecified() {
            return Err(format!("peers.members.listen must be what the others call: {listen}"));
        }
        Ok(Members { listen, others })
    }
}

pub struct Fleet {
    handle: RefCell<Handle>,
    woken: Arc<Notify>,
    /// Whether the thread has ended.
    ended: Cell<bool>,
}

/// Starts the thread where the configuration says so.
pub fn start(name: &str, peers: Option<&Peers>) -> io::Result<Option<Rc<Fleet>>> {
    let Some(Members { listen, others }) = peers.and_then(|peers| peers.members.clone()) else {
        return Ok(None);
    };
    let clock = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let name = if name.is_empty() { listen.to_string() } else { name.to_string() };
    // Chance need not be secret, only unlike the others': by the clock's last digits, and the address.
    let seed = clock.as_nanos() as u64 ^ u64::from(listen.ip().to_bits()).rotate_left(32);
    let start = clock.as_millis() as u64;
    let setup = Setup { name: view::truncate_name(&name), at: listen, others, start, seed };
    let woken = Arc::new(Notify::new());
    let wake = woken.clone();
    let handle = thread::start(setup, move || wake.notify_one());
    let handle =
        handle.map_err(|e| io::Error::new(e.kind(), format!("cannot hear members at {listen}: {e}")))?;
    Ok(Some(Rc::new(Fleet { handle: RefCell::new(handle), woken, ended: Cell::new(false) })))
}

impl Fleet {
    /// Who is up, as far as the facts have come.
    pub fn with_view<R>(&self, look: impl FnOnce(&View) -> R) -> R {
        look(&self.handle.borrow().view)
    }

    /// Takes up the facts as they come. Never ends: a courier works on without knowing the others.
    pub async fn follow(self: Rc<Fleet>) {
        loop {
            self.woken.notified().await;
            self.take_up();
            // Guards against an end that is missed: the thread calls for the last time just before it.
            while self.handle.borrow().is_closing() && !self.ended.get() {
                sleep(LOOK).await;
                self.take_up();
            }
        }
    }

    fn take_up(&self) {
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
                        // That all are unheard of is how each begins.
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
                log::info!("membership has ended: {counts:?}, {} wishes lost", handle.lost_commands);
                if let Some(words) = fault {
                    log::error!("membership: {words}");
                }
                self.ended.set(true);
            }
            Some(None) => {
                log::error!("membership has failed; this courier works on without knowing the others");
                self.ended.set(true);
            }
        }
    }

    /// Tells the others that this courier goes, for so long as that may take.
    pub async fn leave(&self) {
        self.handle.borrow_mut().send_command(Command::Leave);
        let ended = async {
            while !self.ended.get() {
                self.take_up();
                sleep(LOOK).await;
            }
        };
        if timeout(FAREWELL, ended).await.is_err() {
            log::warn!("membership has not ended in time");
        }
    }
}

fn log(member: &Member, change: Change) {
    let (name, at) = (member.name, member.at);
    match change {
        Change::Up => log::info!("member {name} at {at} is up"),
        Change::Recovered => log::info!("member {name} at {at} is back"),
        Change::Restarted => log::info!("member {name} at {at} has started anew"),
        Change::Down => log::info!("member {name} at {at} is down"),
        Change::Suspected => log::debug!("member {name} at {at} is silent"),
        Change::Cleared => log::debug!("member {name} at {at} was silent for a moment"),
        Change::Unchanged => {}
    }
}

//! Listens, reads what clients hand in, and answers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{timeout, Instant};

use crate::exchange::{Answer, Offer, Shared};
use crate::{http, link, resp};

/// A connection on which nothing is asked is ended after so long: its client comes anew when it has to.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2200);
/// For so long what a client still sends is read when it has been turned away.
const LINGER: Duration = Duration::from_secs(3);
/// For so long one that makes way is waited for before another is asked to.
const EVICTION_WAIT: Duration = Duration::from_millis(10);
/// So many are asked at once, of those that were never answered.
const EVICTED_AT_ONCE: usize = 4;
const DISCARD_SIZE: usize = 1 << 16;
/// A command that has begun must have come by then, and an answer must have been read: clients wait for less.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(1);
const READ_SIZE: usize = 4096;
/// Answers are written once there are so many bytes of them. Guards against a flood of short commands, each of which
/// is answered with ten times its bytes.
const MAX_PENDING_ANSWERS: usize = 1 << 14;
const MAX_ID: usize = 128;
const MAX_LIFETIME: Duration = Duration::from_secs(7 * 24 * 3600);

/// How clients are served, in the order in which a courier that ends goes through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// New connections are accepted, and each is closed once it has been answered.
    Draining,
    /// None is accepted beyond those that wait in the system's line.
    NotAccepting,
    /// Only what has begun to come is still answered.
    Closing,
}

/// Whether a connection on which nothing is half read ends by itself.
///
/// | phase | never answered | answered |
/// | --- | --- | --- |
/// | serving | no | no |
/// | moving off, shut | no: its client tries only once more | unless bytes wait |
/// | closing | unless bytes wait | yes: a client that never pauses would be reset at the exit |
fn ends_idle(phase: Phase, answered: bool, waits: impl FnOnce() -> bool) -> bool {
    match (phase, answered) {
        (Phase::Serving, _) | (Phase::Draining | Phase::NotAccepting, false) => false,
        (Phase::Draining | Phase::NotAccepting, true) | (Phase::Closing, false) => !waits(),
        (Phase::Closing, true) => true,
    }
}

struct Clients {
    shared: Shared,
    max_sockets: usize,
    /// Open connections, in the order in which they make way.
    open: RefCell<BTreeMap<EvictionKey, Rc<Notify>>>,
    touches: Cell<u64>,
    /// All sockets of clients, those that make way and are not closed yet among them.
    sockets: Rc<Cell<usize>>,
    ended: Notify,
    /// Ids of mails that were taken on, and whose clients could not hear so yet.
    unacknowledged: RefCell<HashSet<Bytes>>,
    /// Where what nobody wants is read to.
    discard: RefCell<Vec<u8>>,
}

/// Who makes way first. Guards against idle clients that keep connections open which we have ended: were they last,
/// everyone who is idle would be ended, one after another, before the first descriptor is free.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    TurnedAway,
    Unanswered,
    Answered,
}

/// A connection's class, and when it was last touched.
type EvictionKey = (EvictionClass, u64);

/// Answers that are not written yet, and the mails that were taken on with them.
#[derive(Default)]
struct Answers {
    bytes: BytesMut,
    /// Where the answer to a mail that was taken on ends, its number and its id.
    taken: Vec<(usize, u64, Bytes)>,
}

/// Why no further command is answered.
#[derive(PartialEq, Eq)]
enum Stopped {
    /// The rest has not come.
    Nothing,
    /// What there is must be written first.
    More,
    /// The connection cannot be read on.
    Closed,
}

/// Accepts until the phase is `NotAccepting`, and what then waits in the system's line. `sockets` counts the clients'
/// connections from their accept to their close.
pub async fn listen(
    shared: Shared,
    listener: TcpListener,
    max_sockets: usize,
    sockets: Rc<Cell<usize>>,
    mut phase: watch::Receiver<Phase>,
) {
    let (touches, discard) = (Cell::new(0), RefCell::new(vec![0; DISCARD_SIZE]));
    let (open, unacknowledged, ended) = (RefCell::default(), RefCell::default(), Notify::new());
    let clients =
        Rc::new(Clients { shared, max_sockets, open, touches, sockets, ended, unacknowledged, discard });
    let each = phase.clone();
    let mut short = false;
    loop {
        clients.wait_for_room().await;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|&phase| phase >= Phase::NotAccepting) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                short = false;
                clients.accept(stream, &each);
            }
            Err(e) => {
                // Out of descriptors, most likely: others are closing.
                if !std::mem::replace(&mut short, true) {
                    log::warn!("a client cannot be accepted: {e}");
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    // Guards against a reset of those that wait in the system's line, with the request that they have sent.
    // The system is asked itself, since the runtime may not have heard of the last ones.
    let Ok(line) = listener.into_std() else { return };
    loop {
        clients.wait_for_room().await;
        let stream = match line.accept() {
            Ok((stream, _)) => stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)),
            // Gone while it waited; there may be others behind it.
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => continue,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            // Out of descriptors, most likely: others are closing.
            Err(_) => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        stream.into_iter().for_each(|stream| clients.accept(stream, &each));
    }
}

impl Clients {
    /// Guards against a burst that takes all descriptors, those of the notices and the journal too, before
    /// those that make way are closed: until then it waits in the system's line.
    async fn wait_for_room(&self) {
        while self.sockets.get() >= self.max_sockets {
            self.evict();
            let _ = timeout(EVICTION_WAIT, self.ended.notified()).await;
        }
    }

    fn accept(self: &Rc<Self>, stream: TcpStream, phase: &watch::Receiver<Phase>) {
        self.sockets.set(self.sockets.get() + 1);
        tokio::task::spawn_local(self.clone().serve(stream, phase.clone()));
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, phase: watch::Receiver<Phase>) {
        let (closed, mut eviction_key) = (Rc::new(Notify::new()), (EvictionClass::Unanswered, 0));
        self.touch(&mut eviction_key, &closed, EvictionClass::Unanswered);
        match self.serve_commands(&mut stream, phase, &closed, &mut eviction_key).await {
            Ok(true) => {
                self.touch(&mut eviction_key, &closed, EvictionClass::TurnedAway);
                self.drain_and_close(stream, &closed).await;
            }
            Ok(false) => {}
            Err(e) => log::debug!("a client's connection ended: {e}"),
        }
        self.open.borrow_mut().remove(&eviction_key);
        self.sockets.set(self.sockets.get() - 1);
        self.ended.notify_one();
    }

    /// Guards against floods that leave no room: whoever has said nothing for longest makes way, and a client
    /// whose connection is closed between requests comes again.
    fn evict(&self) {
        let mut open = self.open.borrow_mut();
        for first in 0..EVICTED_AT_ONCE {
            let unanswered = open.first_key_value().is_some_and(|(key, _)| key.0 < EvictionClass::Answered);
            if first > 0 && !unanswered {
                return;
            }
            if let Some((_, oldest)) = open.pop_first() {
                oldest.notify_one();
            }
        }
    }

    /// The connection is the one touched last of its class.
    fn touch(&self, eviction_key: &mut EvictionKey, closed: &Rc<Notify>, class: EvictionClass) {
        let mut open = self.open.borrow_mut();
        open.remove(eviction_key);
        self.touches.set(self.touches.get() + 1);
        *eviction_key = (class, self.touches.get());
        open.insert(*eviction_key, closed.clone());
    }

    /// Ends our side, and reads on for a while. Guards against a reset over bytes that nobody read, by which a
    /// client that still sends would lose the answer that tells it why.
    async fn drain_and_close(&self, mut stream: TcpStream, closed: &Notify) {
        if stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            while stream.readable().await.is_ok() {
                match stream.try_read(&mut self.discard.borrow_mut()) {
                    Ok(0) => return,
                    Err(e) if e.kind() != io::ErrorKind::WouldBlock => return,
                    _ => {}
                }
                // Others are served in between, however fast this one sends.
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            _ = timeout(LINGER, drain) => {}
            () = closed.notified() => {}
        }
    }

    /// Serves a connection; true if it is still open on the other side, as far as is known.
    async fn serve_commands(
        &self,
        stream: &mut TcpStream,
        mut phase: watch::Receiver<Phase>,
        closed: &Rc<Notify>,
        eviction_key: &mut EvictionKey,
    ) -> io::Result<bool> {
        stream.set_nodelay(true)?;
        let (mut buffer, mut answers) = (BytesMut::new(), Answers::default());
        // When the connection had its last answer, and when the next command, or what looks like one, began.
        let (mut last_answer, mut command_begun) = (Instant::now(), None);
        // Bytes that have come since the last answer, and answers since the closing began.
        let (mut unanswered, mut answered, mut closing) = (0, false, 0);
        loop {
            let stopped = self.answer_all(&mut buffer, &mut answers);
            if !answers.bytes.is_empty() {
                match self.write(stream, &mut answers).await {
                    Ok(true) => {}
                    // It does not read, and may still: what was written is not taken from it by a reset.
                    Ok(false) => return Ok(true),
                    Err(_) => return Ok(false),
                }
                self.touch(eviction_key, closed, EvictionClass::Answered);
                (answered, last_answer) = (true, Instant::now());
                command_begun = (!buffer.is_empty()).then_some(last_answer);
                unanswered = buffer.len();
                closing += u32::from(*phase.borrow() == Phase::Closing);
                if stopped == Stopped::More {
                    continue;
                }
            }
            // Guards against a close over a request that the runtime has not heard of yet.
            let waits = |stream: &TcpStream| matches!(link::peek(stream), Ok(1..));
            let phase_now = *phase.borrow_and_update();
            // Guards against one that never pauses, of whose commands one is always half read: when the closing
            // begins that one is still answered.
            let ends = closing > 1 || (buffer.is_empty() && ends_idle(phase_now, answered, || waits(stream)));
            if stopped == Stopped::Closed || ends {
                return Ok(true);
            }
            // In the middle of a command the connection is not ended until nobody waits for its answer any
            // more, however slowly the rest comes; nor for lines that ask for nothing.
            let end = command_begun
                .map_or(last_answer + IDLE_TIMEOUT, |command_begun| command_begun + COMMAND_TIMEOUT);
            // No one command: guards against lines that ask for nothing and come without a pause.
            let idle = unanswered > resp::MAX_COMMAND + READ_SIZE;
            if idle && Instant::now() >= end + COMMAND_TIMEOUT {
                return Ok(true);
            }
            buffer.reserve(READ_SIZE);
            let read = tokio::select! {
                biased;
                read = stream.read_buf(&mut buffer) => read?,
                () = tokio::time::sleep_until(end) => {
                    // The rest of a command that lies there is read, as a request is on a quiet connection.
                    if idle || !waits(stream) {
                        return Ok(true);
                    }
                    command_begun = Some(Instant::now());
                    continue;
                }
                () = closed.notified(), if command_begun.is_none() => {
                    if !waits(stream) {
                        return Ok(true);
                    }
                    continue;
                }
                changed = phase.changed(), if command_begun.is_none() => {
                    changed.map_err(io::Error::other)?;
                    continue;
                }
            };
            if read == 0 {
                return Ok(false);
            }
            unanswered += read;
            command_begun = command_begun.or(Some(Instant::now()));
        }
    }

    /// Writes the answers; false if they were not read in time. What its client cannot have heard to be taken on
    /// counts for nothing and may come again; what it can have heard is owed its end, however the rest fares.
    async fn write(&self, stream: &mut TcpStream, answers: &mut Answers) -> io::Result<bool> {
        let mut written = 0;
        let whole = async {
            while written < answers.bytes.len() {
                match stream.write(&answers.bytes[written..]).await? {
                    0 => return Err(io::ErrorKind::WriteZero.into()),
                    some => written += some,
                }
            }
            Ok(())
        };
        let whole = timeout(COMMAND_TIMEOUT, whole).await;
        for (end, serial, id) in answers.taken.drain(..) {
            // Guards against taking back what another client, with the same id, has heard to be taken on.
            if self.unacknowledged.borrow_mut().remove(&id) && end > written {
                self.shared.borrow_mut().hangup(serial);
            }
        }
        answers.bytes.clear();
        whole.map_or(Ok(false), |whole| whole.map(|()| true))
    }

    /// Answers every command that has come whole, up to a bound.
    fn answer_all(&self, buffer: &mut BytesMut, answers: &mut Answers) -> Stopped {
        while answers.bytes.len() < MAX_PENDING_ANSWERS {
            match resp::read_command(buffer) {
                Ok(Some(words)) => {
                    if !self.answer(&words, answers) {
                        return Stopped::Closed;
                    }
                }
                Ok(None) => return Stopped::Nothing,
                Err(malformed) => {
                    resp::write_error(&mut answers.bytes, &format!("ERR {}", malformed.0));
                    return Stopped::Closed;
                }
            }
        }
        Stopped::More
    }

    fn answer(&self, words: &[Bytes], answers: &mut Answers) -> bool {
        let out = &mut answers.bytes;
        let Some(name) = words.first() else { return true };
        let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
        if is("MSG.PUT") {
            let (id, answer) = match parse_offer(words) {
                Ok(offer) => (offer.id.clone(), self.shared.borrow_mut().hand_in(offer)),
                Err(text) => (Bytes::new(), Answer::Failed(text)),
            };
            match answer {
                Answer::Taken(serial) => {
                    resp::write_simple(out, "OK");
                    self.unacknowledged.borrow_mut().insert(id.clone());
                    answers.taken.push((out.len(), serial, id));
                }
                // It is another client's, perhaps: neither one's going takes it back.
                Answer::Known => {
                    resp::write_simple(out, "OK");
                    self.unacknowledged.borrow_mut().remove(&id);
                }
                Answer::Busy => resp::write_error(out, "BUSY"),
                Answer::Failed(text) => resp::write_error(out, text),
            }
        } else if is("PING") {
            resp::write_simple(out, "PONG");
        } else if is("QUIT") {
            resp::write_simple(out, "OK");
            return false;
        } else {
            resp::write_error(out, "ERR unknown command");
        }
        true
    }
}

/// Whether a text can stand in a header and in JSON as it is.
fn is_plain(text: &[u8]) -> bool {
    text.len() <= MAX_ID && text.iter().all(|&b| b.is_ascii_graphic() && b != b'"' && b != b'\\')
}

fn parse_offer(words: &[Bytes]) -> Result<Offer, &'static str> {
    let [_, item, id, pairs, body] = words else { return Err("ERR wrong number of arguments") };
    let id = id.as_ref();
    if id.is_empty() || !is_plain(id) {
        return Err("ERR an id is 1 to 128 plain characters");
    }
    let text = std::str::from_utf8(pairs).map_err(|_| "ERR the names and values are no text")?;
    let key = http::pair_value(text, "k").unwrap_or_default().as_bytes();
    if !is_plain(key) || !is_plain(item) {
        return Err("ERR a key is up to 128 plain characters");
    }
    let lifetime = http::pair_value(text, "d").and_then(|d| d.parse().ok()).map(Duration::from_millis);
    let dest = http::pair_value(text, "dest").and_then(|dest| dest.parse().ok());
    let class = http::pair_value(text, "c").ok_or("ERR no class")?;
    // Copies. Guards against a small part, such as the id in a notice that nobody hears, by which all that was read
    // with it is kept: bodies long over, and other clients' commands.
    let names = Bytes::from([id, key, item.as_ref()].concat());
    Ok(Offer {
        id: names.slice(..id.len()),
        key: names.slice(id.len()..id.len() + key.len()),
        order_key: names.slice(id.len() + key.len()..),
        class: pairs.slice_ref(class.as_bytes()),
        destination: dest.ok_or("ERR no destination")?,
        lifetime: lifetime.ok_or("ERR no time")?.min(MAX_LIFETIME),
        body: Bytes::copy_from_slice(body),
    })
}

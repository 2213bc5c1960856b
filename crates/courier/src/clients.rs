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
const QUIET: Duration = Duration::from_millis(2200);
/// For so long what a client still sends is read when it has been turned away.
const LINGER: Duration = Duration::from_secs(3);
/// For so long one that makes way is waited for before another is asked to.
const WAY: Duration = Duration::from_millis(10);
/// So many are asked at once, of those that were never answered.
const AT_ONCE: usize = 4;
const SINK: usize = 1 << 16;
/// A command that has begun must have come by then, and an answer must have been read: clients wait for less.
const PATIENCE: Duration = Duration::from_secs(1);
const READ: usize = 4096;
/// Answers are written once there are so many bytes of them. Guards against a flood of short commands, each of which
/// is answered with ten times its bytes.
const MOST_OUT: usize = 1 << 14;
const MOST_ID: usize = 128;
const MOST_LIFETIME: Duration = Duration::from_secs(7 * 24 * 3600);

/// How clients are served, in the order in which a courier that ends goes through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// New connections are accepted, and each is closed once it has been answered.
    MovingOff,
    /// None is accepted beyond those that wait in the system's line.
    Shut,
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
fn ends(phase: Phase, answered: bool, waits: impl FnOnce() -> bool) -> bool {
    match (phase, answered) {
        (Phase::Serving, _) | (Phase::MovingOff | Phase::Shut, false) => false,
        (Phase::MovingOff | Phase::Shut, true) | (Phase::Closing, false) => !waits(),
        (Phase::Closing, true) => true,
    }
}

struct Clients {
    shared: Shared,
    most: usize,
    /// Open connections, in the order in which they make way.
    open: RefCell<BTreeMap<Turn, Rc<Notify>>>,
    turn: Cell<u64>,
    /// All sockets of clients, those that make way and are not closed yet among them.
    sockets: Rc<Cell<usize>>,
    ended: Notify,
    /// Ids of mails that were taken on, and whose clients could not hear so yet.
    unheard: RefCell<HashSet<Bytes>>,
    /// Where what nobody wants is read to.
    sink: RefCell<Vec<u8>>,
}

/// Who makes way first. Guards against idle clients that keep connections open which we have ended: were they last,
/// everyone who is idle would be ended, one after another, before the first descriptor is free.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    TurnedAway,
    Unanswered,
    Answered,
}

/// A connection's standing, and when it was last touched.
type Turn = (Standing, u64);

/// Answers that are not written yet, and the mails that were taken on with them.
#[derive(Default)]
struct Answers {
    bytes: BytesMut,
    /// Where the answer to a mail that was taken on ends, its number and its id.
    taken: Vec<(usize, u64, Bytes)>,
}

/// Why no further command is answered.
#[derive(PartialEq, Eq)]
enum Left {
    /// The rest has not come.
    Nothing,
    /// What there is must be written first.
    More,
    /// The connection cannot be read on.
    Closed,
}

/// Accepts until the phase is `Shut`, and what then waits in the system's line. `sockets` counts the clients'
/// connections from their accept to their close.
pub async fn listen(
    shared: Shared,
    listener: TcpListener,
    most: usize,
    sockets: Rc<Cell<usize>>,
    mut phase: watch::Receiver<Phase>,
) {
    let (turn, sink) = (Cell::new(0), RefCell::new(vec![0; SINK]));
    let (open, unheard, ended) = (RefCell::default(), RefCell::default(), Notify::new());
    let clients = Rc::new(Clients { shared, most, open, turn, sockets, ended, unheard, sink });
    let each = phase.clone();
    let mut short = false;
    loop {
        clients.room().await;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|&phase| phase >= Phase::Shut) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                short = false;
                clients.accepted(stream, &each);
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
        clients.room().await;
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
        stream.into_iter().for_each(|stream| clients.accepted(stream, &each));
    }
}

impl Clients {
    /// Guards against a burst that takes all descriptors, those of the notices and the journal too, before
    /// those that make way are closed: until then it waits in the system's line.
    async fn room(&self) {
        while self.sockets.get() >= self.most {
            self.make_way();
            let _ = timeout(WAY, self.ended.notified()).await;
        }
    }

    fn accepted(self: &Rc<Self>, stream: TcpStream, phase: &watch::Receiver<Phase>) {
        self.sockets.set(self.sockets.get() + 1);
        tokio::task::spawn_local(self.clone().serve(stream, phase.clone()));
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, phase: watch::Receiver<Phase>) {
        let (closed, mut turn) = (Rc::new(Notify::new()), (Standing::Unanswered, 0));
        self.touch(&mut turn, &closed, Standing::Unanswered);
        match self.converse(&mut stream, phase, &closed, &mut turn).await {
            Ok(true) => {
                self.touch(&mut turn, &closed, Standing::TurnedAway);
                self.turn_away(stream, &closed).await;
            }
            Ok(false) => {}
            Err(e) => log::debug!("a client's connection ended: {e}"),
        }
        self.open.borrow_mut().remove(&turn);
        self.sockets.set(self.sockets.get() - 1);
        self.ended.notify_one();
    }

    /// Guards against floods that leave no room: whoever has said nothing for longest makes way, and a client
    /// whose connection is closed between requests comes again.
    fn make_way(&self) {
        let mut open = self.open.borrow_mut();
        for first in 0..AT_ONCE {
            let unanswered = open.first_key_value().is_some_and(|(turn, _)| turn.0 < Standing::Answered);
            if first > 0 && !unanswered {
                return;
            }
            if let Some((_, oldest)) = open.pop_first() {
                oldest.notify_one();
            }
        }
    }

    /// The connection is the one touched last of its standing.
    fn touch(&self, turn: &mut Turn, closed: &Rc<Notify>, standing: Standing) {
        let mut open = self.open.borrow_mut();
        open.remove(turn);
        self.turn.set(self.turn.get() + 1);
        *turn = (standing, self.turn.get());
        open.insert(*turn, closed.clone());
    }

    /// Ends our side, and reads on for a while. Guards against a reset over bytes that nobody read, by which a
    /// client that still sends would lose the answer that tells it why.
    async fn turn_away(&self, mut stream: TcpStream, closed: &Notify) {
        if stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            while stream.readable().await.is_ok() {
                match stream.try_read(&mut self.sink.borrow_mut()) {
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
    async fn converse(
        &self,
        stream: &mut TcpStream,
        mut phase: watch::Receiver<Phase>,
        closed: &Rc<Notify>,
        turn: &mut Turn,
    ) -> io::Result<bool> {
        stream.set_nodelay(true)?;
        let (mut buffer, mut answers) = (BytesMut::new(), Answers::default());
        // When the connection had its last answer, and when the next command, or what looks like one, began.
        let (mut quiet, mut asked) = (Instant::now(), None);
        // Bytes that have come since the last answer, and answers since the closing began.
        let (mut unanswered, mut served, mut closing) = (0, false, 0);
        loop {
            let left = self.answer_all(&mut buffer, &mut answers);
            if !answers.bytes.is_empty() {
                match self.write(stream, &mut answers).await {
                    Ok(true) => {}
                    // It does not read, and may still: what was written is not taken from it by a reset.
                    Ok(false) => return Ok(true),
                    Err(_) => return Ok(false),
                }
                self.touch(turn, closed, Standing::Answered);
                (served, quiet) = (true, Instant::now());
                asked = (!buffer.is_empty()).then_some(quiet);
                unanswered = buffer.len();
                closing += u32::from(*phase.borrow() == Phase::Closing);
                if left == Left::More {
                    continue;
                }
            }
            // Guards against a close over a request that the runtime has not heard of yet.
            let waits = |stream: &TcpStream| matches!(link::peek(stream), Ok(1..));
            let phase_now = *phase.borrow_and_update();
            // Guards against one that never pauses, of whose commands one is always half read: when the closing
            // begins that one is still answered.
            let ends = closing > 1 || (buffer.is_empty() && ends(phase_now, served, || waits(stream)));
            if left == Left::Closed || ends {
                return Ok(true);
            }
            // In the middle of a command the connection is not ended until nobody waits for its answer any
            // more, however slowly the rest comes; nor for lines that ask for nothing.
            let end = asked.map_or(quiet + QUIET, |asked| asked + PATIENCE);
            // No one command: guards against lines that ask for nothing and come without a pause.
            let idle = unanswered > resp::MOST_COMMAND + READ;
            if idle && Instant::now() >= end + PATIENCE {
                return Ok(true);
            }
            buffer.reserve(READ);
            let read = tokio::select! {
                biased;
                read = stream.read_buf(&mut buffer) => read?,
                () = tokio::time::sleep_until(end) => {
                    // The rest of a command that lies there is read, as a request is on a quiet connection.
                    if idle || !waits(stream) {
                        return Ok(true);
                    }
                    asked = Some(Instant::now());
                    continue;
                }
                () = closed.notified(), if asked.is_none() => {
                    if !waits(stream) {
                        return Ok(true);
                    }
                    continue;
                }
                changed = phase.changed(), if asked.is_none() => {
                    changed.map_err(io::Error::other)?;
                    continue;
                }
            };
            if read == 0 {
                return Ok(false);
            }
            unanswered += read;
            asked = asked.or(Some(Instant::now()));
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
        let whole = timeout(PATIENCE, whole).await;
        for (end, serial, id) in answers.taken.drain(..) {
            // Guards against taking back what another client, with the same id, has heard to be taken on.
            if self.unheard.borrow_mut().remove(&id) && end > written {
                self.shared.borrow_mut().hangup(serial);
            }
        }
        answers.bytes.clear();
        whole.map_or(Ok(false), |whole| whole.map(|()| true))
    }

    /// Answers every command that has come whole, up to a bound.
    fn answer_all(&self, buffer: &mut BytesMut, answers: &mut Answers) -> Left {
        while answers.bytes.len() < MOST_OUT {
            match resp::command(buffer) {
                Ok(Some(words)) => {
                    if !self.answer(&words, answers) {
                        return Left::Closed;
                    }
                }
                Ok(None) => return Left::Nothing,
                Err(malformed) => {
                    resp::error(&mut answers.bytes, &format!("ERR {}", malformed.0));
                    return Left::Closed;
                }
            }
        }
        Left::More
    }

    fn answer(&self, words: &[Bytes], answers: &mut Answers) -> bool {
        let out = &mut answers.bytes;
        let Some(name) = words.first() else { return true };
        let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
        if is("MSG.PUT") {
            let (id, answer) = match offer(words) {
                Ok(offer) => (offer.id.clone(), self.shared.borrow_mut().hand_in(offer)),
                Err(text) => (Bytes::new(), Answer::Failed(text)),
            };
            match answer {
                Answer::Taken(serial) => {
                    resp::simple(out, "OK");
                    self.unheard.borrow_mut().insert(id.clone());
                    answers.taken.push((out.len(), serial, id));
                }
                // It is another client's, perhaps: neither one's going takes it back.
                Answer::Known => {
                    resp::simple(out, "OK");
                    self.unheard.borrow_mut().remove(&id);
                }
                Answer::Busy => resp::error(out, "BUSY"),
                Answer::Failed(text) => resp::error(out, text),
            }
        } else if is("PING") {
            resp::simple(out, "PONG");
        } else if is("QUIT") {
            resp::simple(out, "OK");
            return false;
        } else {
            resp::error(out, "ERR unknown command");
        }
        true
    }
}

/// Whether a text can stand in a header and in JSON as it is.
fn is_plain(text: &[u8]) -> bool {
    text.len() <= MOST_ID && text.iter().all(|&b| b.is_ascii_graphic() && b != b'"' && b != b'\\')
}

fn offer(words: &[Bytes]) -> Result<Offer, &'static str> {
    let [_, item, id, pairs, body] = words else { return Err("ERR wrong number of arguments") };
    let id = id.as_ref();
    if id.is_empty() || !is_plain(id) {
        return Err("ERR an id is 1 to 128 plain characters");
    }
    let text = std::str::from_utf8(pairs).map_err(|_| "ERR the names and values are no text")?;
    let key = http::pair(text, "k").unwrap_or_default().as_bytes();
    if !is_plain(key) || !is_plain(item) {
        return Err("ERR a key is up to 128 plain characters");
    }
    let lifetime = http::pair(text, "d").and_then(|d| d.parse().ok()).map(Duration::from_millis);
    let dest = http::pair(text, "dest").and_then(|dest| dest.parse().ok());
    let class = http::pair(text, "c").ok_or("ERR no class")?;
    // Copies. Guards against a small part, such as the id in a notice that nobody hears, by which all that was read
    // with it is kept: bodies long over, and other clients' commands.
    let names = Bytes::from([id, key, item.as_ref()].concat());
    Ok(Offer {
        id: names.slice(..id.len()),
        key: names.slice(id.len()..id.len() + key.len()),
        item: names.slice(id.len() + key.len()..),
        class: pairs.slice_ref(class.as_bytes()),
        dest: dest.ok_or("ERR no destination")?,
        lifetime: lifetime.ok_or("ERR no time")?.min(MOST_LIFETIME),
        body: Bytes::copy_from_slice(body),
    })
}

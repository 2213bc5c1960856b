//! Accepts client connections, reads their commands and answers them.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{timeout, Instant};

use crate::exchange::{Answer, Shared};
use crate::system_errors::is_momentary;
use crate::{link, resp, system_errors};

mod input_memory;
mod open_connections;
mod requests;
mod turns;

use input_memory::{Grant, InputMemory};
use open_connections::{EvictionClass, EvictionKey, OpenConnections};
use requests::{parse_offer, ID_PLACE, MAX_ID};
use turns::{Turn, Turns, READ_SIZE};

/// A connection without commands for this long is closed; its client reconnects when it has to.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2200);
/// How long input is still read and discarded after a connection has been shut down on this side.
const LINGER: Duration = Duration::from_secs(3);
/// How long to wait for an evicted connection to close before the next is evicted.
const EVICTION_WAIT: Duration = Duration::from_millis(10);
const DISCARD_SIZE: usize = 1 << 16;
/// The answer to a command that is not read to its end for want of room.
const REFUSAL: &[u8] = b"-BUSY\r\n";
/// Time limit for the rest of a command after its first byte, and for a client to read its answers. Clients
/// give up sooner.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(1);
/// Answers are written once this many bytes are pending. Bounds the memory that a flood of short commands
/// takes, whose answers are ten times their size.
const MAX_PENDING_ANSWERS: usize = 1 << 14;

/// How clients are served, in the order that a shutdown goes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// New connections are accepted, and each is closed once it has been answered.
    Draining,
    /// No connection is accepted beyond those already in the listen backlog.
    NotAccepting,
    /// Only commands that have begun to arrive are still answered.
    Closing,
}

/// Whether a connection without a partly read command is closed.
///
/// | phase | never answered | answered |
/// | --- | --- | --- |
/// | serving | no | no |
/// | draining, not accepting | no: its client retries only once | unless input is waiting |
/// | closing | unless input is waiting | yes: a client that never pauses would be reset at the exit |
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
    open: RefCell<OpenConnections>,
    /// Number of client sockets, including evicted ones that are not closed yet.
    sockets: Rc<Cell<usize>>,
    ended: Notify,
    /// Ids of accepted mails whose acceptance no client can have read yet.
    unacknowledged: RefCell<HashSet<Bytes>>,
    /// Buffer for input that is discarded.
    discard: RefCell<Vec<u8>>,
    turns: Turns,
    input: InputMemory,
}

/// What clients may use of the process.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub sockets: usize,
    /// For commands that are longer than one read, in bytes.
    pub input_memory: u64,
}

/// Answers that are not written yet, and the mails whose acceptance they report.
#[derive(Default)]
struct Answers {
    bytes: BytesMut,
    /// How many of the bytes are written.
    written: usize,
    /// The client has closed its side, or all of the connection.
    client_has_ended: bool,
    /// For each accepted mail: the end of its answer in `bytes`, its serial number and its id.
    taken: Vec<(usize, u64, Bytes)>,
}

/// Why `answer_all` stopped.
#[derive(PartialEq, Eq)]
enum Stopped {
    /// There is no further complete command.
    Nothing,
    /// The pending answers must be written first, or the turn is over.
    More,
    /// The connection is to be closed.
    Closed,
}

/// Accepts connections until the phase is `NotAccepting`, and then those left in the listen backlog.
/// `sockets` counts client connections from accept to close.
pub async fn listen(
    shared: Shared,
    listener: TcpListener,
    limits: Limits,
    sockets: Rc<Cell<usize>>,
    mut phase: watch::Receiver<Phase>,
) {
    let discard = RefCell::new(vec![0; DISCARD_SIZE]);
    let (open, unacknowledged, ended) = (RefCell::default(), RefCell::default(), Notify::new());
    let turns = Turns::new();
    let clients = Rc::new(Clients {
        shared,
        max_sockets: limits.sockets,
        open,
        sockets,
        ended,
        unacknowledged,
        discard,
        turns,
        input: InputMemory::new(limits.input_memory),
    });
    let each = phase.clone();
    let mut out_of_descriptors = false;
    loop {
        clients.wait_for_room().await;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|&phase| phase >= Phase::NotAccepting) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                out_of_descriptors = false;
                clients.accept(stream, &each);
            }
            Err(e) => {
                // Most likely out of descriptors: other connections are being closed.
                if !std::mem::replace(&mut out_of_descriptors, true) {
                    log::warn!("a client cannot be accepted: {e}");
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
    // Connections left in the listen backlog would be reset when the listener closes, together with the
    // requests that they have sent. The operating system is asked directly, since the runtime may not have
    // seen the last ones yet.
    let Ok(backlog) = listener.into_std() else { return };
    loop {
        clients.wait_for_room().await;
        let stream = match backlog.accept() {
            Ok((stream, _)) => stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)),
            // The client has left; there may be others behind it.
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => continue,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            // Most likely out of descriptors: other connections are being closed.
            Err(_) => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        stream.into_iter().for_each(|stream| clients.accept(stream, &each));
    }
}

/// A connection's place in the order of eviction, given up when it is dropped.
struct Place<'a> {
    clients: &'a Clients,
    key: EvictionKey,
    /// Notified when the connection is evicted.
    closed: Rc<Notify>,
}

impl<'a> Place<'a> {
    fn new(clients: &'a Clients) -> Place<'a> {
        let closed = Rc::new(Notify::new());
        let key = clients.open.borrow_mut().place(None, EvictionClass::Silent, &closed);
        Place { clients, key, closed }
    }

    /// Makes the connection the last one of a class.
    fn change(&mut self, class: EvictionClass) {
        self.key = self.clients.open.borrow_mut().place(Some(self.key), class, &self.closed);
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.clients.open.borrow_mut().remove(self.key);
    }
}

impl Clients {
    /// Waits until a further connection fits. A burst stays in the listen backlog until evicted connections
    /// are closed, so that it does not take the descriptors of the notices and the journal.
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
        let mut place = Place::new(&self);
        match self.serve_commands(&mut stream, phase, &mut place).await {
            Ok(true) => {
                place.change(EvictionClass::TurnedAway);
                self.drain_and_close(stream, &place.closed).await;
            }
            Ok(false) => {}
            Err(e) => log::debug!("a client's connection ended: {e}"),
        }
        drop(place);
        self.shared.borrow_mut().counts.clients.evicted_for_memory = self.input.evicted.get();
        self.sockets.set(self.sockets.get() - 1);
        self.ended.notify_one();
    }

    /// Evicts connections, so that a flood does not keep others out. A client whose connection is closed between requests
    /// connects again.
    fn evict(&self) {
        let evicted = self.open.borrow_mut().evict();
        let counts = &mut self.shared.borrow_mut().counts.clients;
        counts.evicted_idle += evicted.idle as u64;
        counts.evicted_unserved += evicted.unserved as u64;
    }

    /// Shuts down this side and discards input for a while. Closing with unread input would send a reset, by
    /// which a client that is still sending would lose the answer that explains the close.
    async fn drain_and_close(&self, mut stream: TcpStream, closed: &Notify) {
        if stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            while stream.readable().await.is_ok() {
                match stream.try_read(&mut self.discard.borrow_mut()) {
                    Ok(0) => return,
                    Err(e) if e.kind() != io::ErrorKind::WouldBlock && !is_momentary(&e) => return,
                    _ => {}
                }
                // Lets other connections run, however fast this one sends.
                tokio::task::yield_now().await;
            }
        };
        tokio::select! {
            _ = timeout(LINGER, drain) => {}
            () = closed.notified() => {}
        }
    }

    /// Serves a connection until it ends. Returns true if, as far as is known, the client still has it open.
    async fn serve_commands(
        &self,
        stream: &mut TcpStream,
        mut phase: watch::Receiver<Phase>,
        place: &mut Place<'_>,
    ) -> io::Result<bool> {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("answers to a client may be held back: {e}");
        }
        let (mut buffer, mut answers) = (BytesMut::new(), Answers::default());
        // Times of the last answer, and of the first byte of the next command if one has begun.
        let (mut last_answer, mut command_begun) = (Instant::now(), None);
        // Bytes received since the last answer, whether any answer was written, and answers written while
        // closing.
        let (mut unanswered, mut answered, mut closing) = (0, false, 0);
        let (mut is_readable, mut stopped) = (false, Stopped::Nothing);
        let closed = place.closed.clone();
        let mut grant: Option<Grant> = None;
        loop {
            if is_readable || stopped == Stopped::More {
                let mut turn = self.turns.next().await;
                let read = if is_readable { read_some(stream, &mut buffer)? } else { None };
                if read == Some(0) {
                    return Ok(false);
                }
                if let Some(read) = read {
                    unanswered += read;
                    command_begun = command_begun.or(Some(Instant::now()));
                }
                answers.client_has_ended = has_ended_sending(stream).await;
                stopped = self.answer_all(&mut buffer, &mut answers, &mut turn);
                // Before the decisions can have a message called: one is withdrawn only if it was not.
                answers.written = stream.try_write(&answers.bytes).unwrap_or(0);
                turn.end().await;
                is_readable = false;
            }
            if buffer.len() < READ_SIZE && grant.is_some() || buffer.is_empty() {
                // An idle connection holds no buffer.
                buffer = BytesMut::from(&buffer[..]);
                grant = None;
            }
            if !answers.bytes.is_empty() {
                match self.write(stream, &mut answers).await {
                    Ok(true) => {}
                    // The client is not reading, but may later: a reset must not discard what was written.
                    Ok(false) => return Ok(true),
                    Err(_) => return Ok(false),
                }
                place.change(EvictionClass::Idle);
                (answered, last_answer) = (true, Instant::now());
                command_begun = (!buffer.is_empty()).then_some(last_answer);
                unanswered = buffer.len();
                closing += u32::from(*phase.borrow() == Phase::Closing);
            }
            if stopped == Stopped::More {
                continue;
            }
            // The runtime may not have seen a waiting request yet.
            let waits = |stream: &TcpStream| matches!(link::peek(stream), Ok(1..));
            let phase_now = *phase.borrow_and_update();
            // A client that never pauses always has half a command sent. The command that is half read when
            // the closing begins is still answered, and no further one.
            let ends = closing > 1 || (buffer.is_empty() && ends_idle(phase_now, answered, || waits(stream)));
            if stopped == Stopped::Closed || ends {
                return Ok(true);
            }
            // A partly received command keeps the connection open until its client has stopped waiting for
            // the answer, however slowly the rest arrives. Empty lines do not keep it open.
            let end = command_begun
                .map_or(last_answer + IDLE_TIMEOUT, |command_begun| command_begun + COMMAND_TIMEOUT);
            // More input than one command can have, without an answer: a stream of empty lines.
            let idle = unanswered > resp::MAX_COMMAND + READ_SIZE;
            if idle && Instant::now() >= end + COMMAND_TIMEOUT {
                return Ok(true);
            }
            let in_command = if answered { EvictionClass::Continuing } else { EvictionClass::Beginning };
            if command_begun.is_some() && place.key.0 != in_command {
                place.change(in_command);
            }
            let needs_grant = buffer.len() >= READ_SIZE && grant.is_none();
            tokio::select! {
                biased;
                readable = stream.readable(), if !needs_grant => {
                    readable?;
                    is_readable = true;
                }
                granted = self.input.grant(&closed), if needs_grant => {
                    granted.move_into_buffer(&mut buffer);
                    grant = Some(granted);
                }
                () = tokio::time::sleep_until(end) => {
                    if needs_grant {
                        log::debug!("a client is refused: there was no memory for its command in its time");
                        let _ = stream.try_write(REFUSAL);
                        return Ok(true);
                    }
                    // Input that is already waiting is read, like a request on an idle connection.
                    if idle || !waits(stream) {
                        return Ok(true);
                    }
                    command_begun = Some(Instant::now());
                    is_readable = true;
                }
                () = closed.notified() => {
                    if needs_grant || !waits(stream) {
                        if !buffer.is_empty() {
                            log::debug!("a client is refused within a command, of which {} bytes were read", buffer.len());
                            let _ = stream.try_write(REFUSAL);
                        }
                        return Ok(true);
                    }
                    place.change(place.key.0);
                    grant.iter().for_each(Grant::goes_on);
                    is_readable = true;
                }
                changed = phase.changed(), if command_begun.is_none() => {
                    changed.map_err(io::Error::other)?;
                }
            };
        }
    }

    /// Writes the rest of the answers; false if the client did not read them in time. Mails whose acceptance it cannot
    /// have read are dropped, and it may submit them again; those whose acceptance it may have read are kept,
    /// whatever becomes of the connection.
    async fn write(&self, stream: &mut TcpStream, answers: &mut Answers) -> io::Result<bool> {
        let mut written = answers.written;
        let write_all = async {
            while written < answers.bytes.len() {
                match system_errors::write(stream, &answers.bytes[written..]).await? {
                    0 => return Err(io::ErrorKind::WriteZero.into()),
                    some => written += some,
                }
            }
            Ok(())
        };
        let written_all = timeout(COMMAND_TIMEOUT, write_all).await;
        for (end, serial, id) in answers.taken.drain(..) {
            // A mail with the same id whose acceptance another client has read must stay.
            if self.unacknowledged.borrow_mut().remove(&id) && end > written {
                log::debug!("mail {serial}: the client cannot have read its answer");
                self.shared.borrow_mut().withdraw(serial);
            }
        }
        log::debug!("{written} of {} bytes of answers are written to a client", answers.bytes.len());
        answers.bytes.clear();
        written_all.map_or(Ok(false), |result| result.map(|()| true))
    }

    /// Answers the complete commands, up to the work of a turn and a bound on the pending answers.
    fn answer_all(&self, buffer: &mut BytesMut, answers: &mut Answers, turn: &mut Turn) -> Stopped {
        while answers.bytes.len() < MAX_PENDING_ANSWERS && !turn.is_over() {
            let before = buffer.len();
            match resp::read_command(buffer) {
                Ok(Some(words)) => {
                    turn.add_command(before - buffer.len());
                    if !self.answer(&words, answers, turn) {
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

    fn answer(&self, words: &[Bytes], answers: &mut Answers, turn: &mut Turn) -> bool {
        let out = &mut answers.bytes;
        let Some(name) = words.first() else { return true };
        let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
        if is("MSG.PUT") {
            turn.add_request();
            let (id, answer) = match parse_offer(words) {
                Ok(offer) if answers.client_has_ended => {
                    (offer.id.clone(), self.shared.borrow_mut().refuse_ended_client(&offer))
                }
                Ok(offer) => (offer.id.clone(), self.shared.borrow_mut().hand_in(offer)),
                Err(text) => (words.get(ID_PLACE).cloned().unwrap_or_default(), Answer::Failed(text)),
            };
            log::debug!(
                "message {} is answered {answer:?}",
                String::from_utf8_lossy(&id[..id.len().min(MAX_ID)])
            );
            match answer {
                Answer::Taken(serial) => {
                    resp::write_simple(out, "OK");
                    self.unacknowledged.borrow_mut().insert(id.clone());
                    answers.taken.push((out.len(), serial, id));
                }
                // The mail may be another client's: neither of them leaving drops it.
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

/// Whether the end of the client's sending has come, although there may be unread bytes before it.
async fn has_ended_sending(stream: &TcpStream) -> bool {
    tokio::select! {
        biased;
        ready = tokio::task::unconstrained(stream.ready(Interest::READABLE)) => {
            ready.is_ok_and(|ready| ready.is_read_closed())
        }
        () = std::future::ready(()) => false,
    }
}

/// Reads what has come, of at most `READ_SIZE` bytes; `None` if there is nothing yet, 0 at the end of the connection.
fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<Option<usize>> {
    buffer.reserve(READ_SIZE);
    let mut total = 0;
    // Up to the read that finds nothing: only that one tells the runtime that the socket is not ready any more.
    while total < READ_SIZE {
        match stream.try_read_buf(&mut buffer.limit(READ_SIZE - total)) {
            // The end is found again by the next read.
            Ok(0) if total > 0 => break,
            Ok(0) => return Ok(Some(0)),
            Ok(read) => total += read,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock || is_momentary(&e) => break,
            Err(e) if total == 0 => return Err(e),
            Err(_) => break,
        }
    }
    Ok((total > 0).then_some(total))
}

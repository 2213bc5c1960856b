//! Listens, reads what clients hand in, and answers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{timeout, Instant};

use crate::exchange::{Answer, Offer, Shared};
use crate::{http, resp};

/// A command that has begun must have come by then, and an answer must have been read: clients wait for less.
const PATIENCE: Duration = Duration::from_secs(1);
const READ: usize = 4096;
const MOST_ID: usize = 128;
const MOST_LIFETIME: Duration = Duration::from_secs(7 * 24 * 3600);

/// How clients are served: as ever, or moved off while the courier ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Serving,
    MovingOff,
}

struct Clients {
    shared: Shared,
    most: usize,
    /// Open connections by the turn in which they last asked for something.
    open: RefCell<BTreeMap<u64, Rc<Notify>>>,
    turn: Cell<u64>,
}

/// Accepts until it is dropped.
pub async fn listen(shared: Shared, listener: TcpListener, most: usize, phase: watch::Receiver<Phase>) {
    let clients = Rc::new(Clients { shared, most, open: RefCell::default(), turn: Cell::new(0) });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(clients.clone().serve(stream, phase.clone()));
            }
            Err(e) => {
                // Out of descriptors, most likely: others are closing.
                log::warn!("a client cannot be accepted: {e}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

impl Clients {
    async fn serve(self: Rc<Self>, stream: TcpStream, phase: watch::Receiver<Phase>) {
        let (closed, mut turn) = (Rc::new(Notify::new()), 0);
        self.touch(&mut turn, &closed);
        // Guards against floods that leave no room: whoever has been silent longest makes way, and a client
        // whose connection is closed between requests comes again.
        if self.open.borrow().len() > self.most {
            if let Some((_, oldest)) = self.open.borrow_mut().pop_first() {
                oldest.notify_one();
            }
        }
        if let Err(e) = self.converse(stream, phase, &closed, &mut turn).await {
            log::debug!("a client's connection ended: {e}");
        }
        self.open.borrow_mut().remove(&turn);
    }

    /// A connection asks for something, and goes to the end of those that may have to make way.
    fn touch(&self, turn: &mut u64, closed: &Rc<Notify>) {
        let mut open = self.open.borrow_mut();
        open.remove(turn);
        self.turn.set(self.turn.get() + 1);
        *turn = self.turn.get();
        open.insert(*turn, closed.clone());
    }

    async fn converse(
        &self,
        mut stream: TcpStream,
        mut phase: watch::Receiver<Phase>,
        closed: &Rc<Notify>,
        turn: &mut u64,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut buffer, mut out) = (BytesMut::new(), BytesMut::new());
        let (mut taken, mut served) = (Vec::new(), false);
        let mut begun = Instant::now();
        loop {
            let open = self.answer_all(&mut buffer, &mut out, &mut taken);
            if !out.is_empty() {
                let written = timeout(PATIENCE, stream.write_all(&out)).await;
                if !matches!(written, Ok(Ok(()))) {
                    // Gone before it heard: what it handed in counts for nothing and may come again. Of
                    // several it may have heard some, and those are still owed their end.
                    if let [serial] = taken[..] {
                        self.shared.borrow_mut().hangup(serial);
                    }
                    return Ok(());
                }
                self.touch(turn, closed);
                out.clear();
                (served, begun) = (true, Instant::now());
            }
            taken.clear();
            // A new connection still has its first request read: its client tries only once more.
            let moving = *phase.borrow() == Phase::MovingOff;
            if !open || (moving && served && buffer.is_empty()) {
                return stream.shutdown().await;
            }
            buffer.reserve(READ);
            // In the middle of a command the connection is not ended until nobody waits for its answer any
            // more, however slowly the rest comes.
            let partial = !buffer.is_empty();
            let read = tokio::select! {
                biased;
                () = tokio::time::sleep_until(begun + PATIENCE), if partial => return Ok(()),
                read = stream.read_buf(&mut buffer) => read?,
                () = closed.notified(), if !partial => return Ok(()),
                changed = phase.changed(), if !partial && !moving => {
                    changed.map_err(io::Error::other)?;
                    continue;
                }
            };
            if read == 0 {
                return Ok(());
            }
            if !partial {
                begun = Instant::now();
            }
        }
    }

    /// Answers every command that has come whole; whether the connection can be read on.
    fn answer_all(&self, buffer: &mut BytesMut, out: &mut BytesMut, taken: &mut Vec<u64>) -> bool {
        loop {
            match resp::command(buffer) {
                Ok(Some(words)) => {
                    if !self.answer(&words, out, taken) {
                        return false;
                    }
                }
                Ok(None) => return true,
                Err(malformed) => {
                    resp::error(out, &format!("ERR {}", malformed.0));
                    return false;
                }
            }
        }
    }

    fn answer(&self, words: &[Bytes], out: &mut BytesMut, taken: &mut Vec<u64>) -> bool {
        let Some(name) = words.first() else { return true };
        let is = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
        if is("MSG.PUT") {
            let answer = match offer(words) {
                Ok(offer) => self.shared.borrow_mut().hand_in(offer),
                Err(text) => Answer::Failed(text),
            };
            match answer {
                Answer::Taken(serial) => {
                    taken.push(serial);
                    resp::simple(out, "OK");
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
    if id.is_empty() || !is_plain(id) {
        return Err("ERR an id is 1 to 128 plain characters");
    }
    let text = std::str::from_utf8(pairs).map_err(|_| "ERR the names and values are no text")?;
    let value = |name: &str| http::pair(text, name).map(|value| pairs.slice_ref(value.as_bytes()));
    let key = value("k").unwrap_or_default();
    if !is_plain(&key) || !is_plain(item) {
        return Err("ERR a key is up to 128 plain characters");
    }
    let lifetime = http::pair(text, "d").and_then(|d| d.parse().ok()).map(Duration::from_millis);
    let dest = http::pair(text, "dest").and_then(|dest| dest.parse().ok());
    Ok(Offer {
        id: id.clone(),
        key,
        item: item.clone(),
        class: value("c").ok_or("ERR no class")?,
        dest: dest.ok_or("ERR no destination")?,
        lifetime: lifetime.ok_or("ERR no time")?.min(MOST_LIFETIME),
        body: body.clone(),
    })
}

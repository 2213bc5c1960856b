//! The thread that moves a node's datagrams, joined to whoever wants to know by two bounded rings: facts out, wishes
//! in. Neither end ever waits for the other.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token, Waker};
use rtrb::{Consumer, Producer, RingBuffer};

use crate::node::{Counts, Node, Setup, Update};
use crate::view::View;
use crate::{wire, Time};

/// Facts that wait to be read; beyond that the node keeps the last of each member.
const UPDATE_CAPACITY: usize = 64;
const COMMAND_CAPACITY: usize = 16;
/// Datagrams that are read before what is due is done.
const MAX_READS_PER_TURN: usize = 64;
/// Bytes of stack that are set aside; none is touched before it is used.
const STACK_BYTES: usize = 256 * 1024;

const SOCKET: Token = Token(0);
const COMMAND: Token = Token(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Tell the others that this courier goes, and end.
    Leave,
    /// Tell every fact anew.
    ResendAll,
}

/// How it ended, and what was counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exit {
    pub counts: Counts,
    /// The first thing that did not hold, in words.
    pub fault: Option<String>,
}

/// The other end of the rings. The thread leaves and ends when this is dropped.
pub struct Handle {
    /// Knows nobody yet: the facts are to be put in.
    pub view: View,
    /// The view's time zero.
    pub start: Instant,
    updates: Consumer<Update>,
    commands: Producer<Command>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<Exit>>,
    /// Wishes that found the ring full.
    pub lost_commands: u64,
}

impl Handle {
    pub fn next_update(&mut self) -> Option<Update> {
        self.updates.pop().ok()
    }

    pub fn send_command(&mut self, command: Command) {
        self.lost_commands += u64::from(self.commands.push(command).is_err());
        let _ = self.waker.wake();
    }

    /// Whether the thread is at its end; known when it calls `wake` for the last time.
    pub fn is_closing(&self) -> bool {
        self.updates.is_abandoned()
    }

    /// Once the thread has ended, how it did; none if it ended by a panic. Never waits.
    pub fn try_join(&mut self) -> Option<Option<Exit>> {
        let ended = self.thread.as_ref().is_some_and(JoinHandle::is_finished);
        ended.then(|| self.thread.take().and_then(|thread| thread.join().ok()))
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.send_command(Command::Leave);
    }
}

/// Calls it at the end of the thread as well, however that comes, when the rings are already closed.
struct WakeOnDrop<F: Fn()>(F);

impl<F: Fn()> Drop for WakeOnDrop<F> {
    fn drop(&mut self) {
        (self.0)();
    }
}

/// Binds the socket, so that a wrong address is an error at once, and starts the thread. `wake` is called from it
/// whenever facts have come in, and at its end.
pub fn start(setup: Setup, wake: impl Fn() + Send + 'static) -> io::Result<Handle> {
    let mut socket = UdpSocket::bind(SocketAddr::V4(setup.at))?;
    let poll = Poll::new()?;
    poll.registry().register(&mut socket, SOCKET, Interest::READABLE)?;
    let waker = Arc::new(Waker::new(poll.registry(), COMMAND)?);
    let (updates_in, updates) = RingBuffer::new(UPDATE_CAPACITY);
    let (commands, commands_out) = RingBuffer::new(COMMAND_CAPACITY);
    let start = Instant::now();
    let view = setup.initial_view(0);
    let thread = Builder::new().name("fleet".to_string()).stack_size(STACK_BYTES);
    let thread = thread.spawn(move || {
        let wake = WakeOnDrop(wake);
        run(&setup, socket, poll, start, updates_in, commands_out, &wake.0)
    })?;
    Ok(Handle { view, start, updates, commands, waker, thread: Some(thread), lost_commands: 0 })
}

fn run(
    setup: &Setup,
    socket: UdpSocket,
    mut poll: Poll,
    start: Instant,
    mut updates: Producer<Update>,
    mut commands: Consumer<Command>,
    wake: &dyn Fn(),
) -> Exit {
    let now = || (start.elapsed().as_micros() / 100) as Time;
    let mut send = |to: SocketAddrV4, datagram: &[u8]| {
        // Guards against a full buffer that holds all up: to the library it is a datagram that was lost.
        socket.send_to(datagram, SocketAddr::V4(to)).is_ok_and(|sent| sent == datagram.len())
    };
    let mut node = Node::new(setup, now());
    let mut events = Events::with_capacity(8);
    // One byte more than is allowed, to tell what is cut off from what just fits.
    let mut buffer = [0; wire::MAX_DATAGRAM_BYTES + 1];
    let mut unread = false;
    loop {
        let wait = if unread { 0 } else { node.next_deadline().saturating_sub(now()) };
        let wait = Duration::from_micros(wait * 100);
        if poll.poll(&mut events, Some(wait)).is_err() {
            // A signal; guards against a loop without a pause if it is anything else.
            std::thread::sleep(Duration::from_millis(1));
        }
        // First what has come, then what is due: after a stand-still the answers to probes lie in the socket.
        unread = true;
        for _ in 0..MAX_READS_PER_TURN {
            match socket.recv_from(&mut buffer) {
                Ok((length, SocketAddr::V4(from))) => node.receive(now(), from, &buffer[..length], &mut send),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    unread = false;
                    break;
                }
                // That of an earlier datagram which found nobody.
                Err(_) => {}
            }
        }
        node.turn(now(), &mut send);
        let mut leave = updates.is_abandoned();
        while let Ok(command) = commands.pop() {
            match command {
                Command::Leave => leave = true,
                Command::ResendAll => node.mark_all_pending(),
            }
        }
        let mut published = false;
        node.publish(&mut |update| {
            let put = updates.push(update).is_ok();
            published |= put;
            put
        });
        if leave {
            node.leave(now(), &mut send);
            return Exit { counts: node.counts(), fault: node.fault.take() };
        }
        if published {
            wake();
        }
    }
}

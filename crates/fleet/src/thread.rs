//! The thread that runs a node on a UDP socket. Two bounded rings connect it to the consumer: updates out,
//! commands in. Neither side ever blocks on the other.

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

/// Updates that wait to be read; when the ring is full, the node keeps only the last change of each member.
const UPDATE_CAPACITY: usize = 64;
const COMMAND_CAPACITY: usize = 16;
/// Datagrams that are read before timers are handled.
const MAX_READS_PER_TURN: usize = 64;
/// Reserved stack; pages are committed only when they are used.
const STACK_BYTES: usize = 256 * 1024;

const SOCKET: Token = Token(0);
const COMMAND: Token = Token(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Announce the departure of this courier and end the thread.
    Leave,
    /// Publish the complete state again.
    ResendAll,
}

/// Counters and the first fault of a thread that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exit {
    pub counts: Counts,
    /// The first violated invariant.
    pub fault: Option<String>,
}

/// The consumer's side of the rings. Dropping it makes the thread leave the cluster and end.
pub struct Handle {
    /// Knows only this courier at first; the caller applies the updates to it.
    pub view: View,
    /// Time zero of the view.
    pub start: Instant,
    updates: Consumer<Update>,
    commands: Producer<Command>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<Exit>>,
    /// Commands that were dropped because the ring was full.
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

    /// Whether the thread is ending; true by the time of the last call to `wake`.
    pub fn is_closing(&self) -> bool {
        self.updates.is_abandoned()
    }

    /// The result of the thread once it has ended; the inner `None` means that it panicked. Never blocks.
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

/// Calls `wake` once more when the thread ends for any reason, after the rings have been closed.
struct WakeOnDrop<F: Fn()>(F);

impl<F: Fn()> Drop for WakeOnDrop<F> {
    fn drop(&mut self) {
        (self.0)();
    }
}

/// Binds the socket, so that an invalid address is reported at once, and starts the thread. The thread calls
/// `wake` whenever it has published updates, and when it ends.
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
        // Guards against blocking on a full send buffer: to the library this is a lost datagram.
        socket.send_to(datagram, SocketAddr::V4(to)).is_ok_and(|sent| sent == datagram.len())
    };
    let mut node = Node::new(setup, now());
    let mut events = Events::with_capacity(8);
    // One byte more than allowed, to tell a truncated datagram from one that just fits.
    let mut buffer = [0; wire::MAX_DATAGRAM_BYTES + 1];
    let mut more_to_read = false;
    loop {
        let wait = if more_to_read { 0 } else { node.next_deadline().saturating_sub(now()) };
        let wait = Duration::from_micros(wait * 100);
        if poll.poll(&mut events, Some(wait)).is_err() {
            // Interrupted by a signal; guards against a busy loop in case of any other error.
            std::thread::sleep(Duration::from_millis(1));
        }
        // Datagrams are read before timers are handled: after a pause of the process the replies to probes
        // are still in the socket buffer.
        more_to_read = true;
        for _ in 0..MAX_READS_PER_TURN {
            match socket.recv_from(&mut buffer) {
                Ok((length, SocketAddr::V4(from))) => node.receive(now(), from, &buffer[..length], &mut send),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    more_to_read = false;
                    break;
                }
                // An ICMP error for an earlier datagram that did not reach its recipient.
                Err(_) => {}
            }
        }
        node.turn(now(), &mut send);
        let mut leave = updates.is_abandoned();
        while let Ok(command) = commands.pop() {
            match command {
                Command::Leave => leave = true,
                Command::ResendAll => node.mark_all_unpublished(),
            }
        }
        let mut published = false;
        node.publish(&mut |update| {
            let pushed = updates.push(update).is_ok();
            published |= pushed;
            pushed
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

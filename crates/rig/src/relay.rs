//! Links with fault injection. TCP traffic passes a relay on loopback that can cut the link, block one direction or
//! both, add delay, reset the connection in the middle of a request or an answer, or spoil the order of the answers. Datagrams can be lost, duplicated
//! and delayed, and are thereby reordered.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

mod answers;
mod stream;

pub use answers::AnswerFault;
use answers::{both_sides, Answers, Passage, Requests};
use stream::{end_writing, read, write_all};

/// Largest number of bytes that pass at once.
const CHUNK: usize = 16 << 10;

/// Direction of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From the side that opened the connection.
    Request,
    Answer,
}

/// The fault that is injected into a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LinkFault {
    #[default]
    None,
    /// New connections are refused and open ones are reset.
    Cut,
    /// Connections are accepted and stay open, but nothing passes in this direction; they are reset when the fault ends.
    Held(Way),
    /// Like `Held`, but in both directions.
    Silent,
    /// Each chunk is delayed by this duration.
    Slow(Duration),
    /// With this probability, only half of a chunk in this direction is forwarded and the connection is reset.
    Reset(Way, f64),
}

impl LinkFault {
    fn holds(self, way: Way) -> bool {
        self == LinkFault::Silent || self == LinkFault::Held(way)
    }
}

/// Bytes forwarded in each direction.
#[derive(Debug, Default)]
pub struct PassedBytes {
    pub requests: AtomicU64,
    pub answers: AtomicU64,
}

impl PassedBytes {
    fn add(&self, way: Way, bytes: usize) {
        let count = if way == Way::Request { &self.requests } else { &self.answers };
        count.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes of requests and of answers.
    pub fn both(&self) -> [u64; 2] {
        [&self.requests, &self.answers].map(|count| count.load(Ordering::Relaxed))
    }
}

/// Creates an inspector for each connection; it is given the answer bytes before they are forwarded.
pub type InspectorFactory = Arc<dyn Fn() -> Inspector + Send + Sync>;
pub type Inspector = Box<dyn FnMut(&[u8]) + Send>;

/// Forwards TCP connections from its own address to another one. Stops when it is dropped.
pub struct Relay {
    pub address: SocketAddr,
    pub passed: Arc<PassedBytes>,
    fault: watch::Sender<LinkFault>,
    answer_fault: watch::Sender<Option<SpoiltAnswers>>,
    _task: JoinSet<()>,
}

/// A share of the answers that has a fault, besides the fault of the link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpoiltAnswers {
    pub fault: AnswerFault,
    pub share: f64,
}

impl Relay {
    /// Listens on a free port of `at` and connects to `to` from the address `from`, by which the far side identifies
    /// the link's courier.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(at: IpAddr, from: IpAddr, to: SocketAddr, seed: u64) -> io::Result<Relay> {
        Relay::start_with_inspector(at, from, to, seed, None).await
    }

    /// Like `start`, with an inspector for the answers of each connection.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start_with_inspector(
        at: IpAddr,
        from: IpAddr,
        to: SocketAddr,
        seed: u64,
        inspect: Option<InspectorFactory>,
    ) -> io::Result<Relay> {
        let listener = TcpListener::bind((at, 0)).await?;
        let address = listener.local_addr()?;
        let (fault, fault_in) = watch::channel(LinkFault::None);
        let (answer_fault, answer_fault_in) = watch::channel(None);
        let (mut task, passed) = (JoinSet::new(), Arc::new(PassedBytes::default()));
        let route = Route { from, to, passed: passed.clone(), inspect, answer_fault: answer_fault_in };
        task.spawn(listen(address, listener, fault_in, route, Rng::with_seed(seed)));
        Ok(Relay { address, passed, fault, answer_fault, _task: task })
    }

    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }

    /// Spoils a share of the answers from now on, or none.
    pub fn spoil_answers(&self, answers: Option<SpoiltAnswers>) {
        self.answer_fault.send_replace(answers);
    }
}

/// What the connections of a relay have in common.
#[derive(Clone)]
struct Route {
    /// The address from which they connect, and their target.
    from: IpAddr,
    to: SocketAddr,
    passed: Arc<PassedBytes>,
    inspect: Option<InspectorFactory>,
    answer_fault: watch::Receiver<Option<SpoiltAnswers>>,
}

async fn listen(
    address: SocketAddr,
    listener: TcpListener,
    mut fault: watch::Receiver<LinkFault>,
    route: Route,
    mut chance: Rng,
) {
    let (mut listener, mut connections) = (Some(listener), JoinSet::new());
    loop {
        let cut = *fault.borrow_and_update() == LinkFault::Cut;
        if cut {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        let accepted = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None if cut => std::future::pending().await,
                // The port is not free yet; bind again after a pause.
                None => Err(io::ErrorKind::AddrInUse.into()),
            }
        };
        tokio::select! {
            changed = fault.changed() => if changed.is_err() { return },
            accepted = accepted => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(forward(stream, fault.clone(), route.clone(), chance.fork()));
                }
                Err(_) => sleep(Duration::from_millis(10)).await,
            },
            // Discard tasks that have ended.
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward(near: TcpStream, mut fault: watch::Receiver<LinkFault>, route: Route, chance: Rng) {
    let near = Arc::new(near);
    let forwarding = async {
        // While requests are blocked, do not connect to the far side; reset waiting connections when the fault ends.
        while fault.borrow_and_update().holds(Way::Request) {
            fault.changed().await.map_err(io::Error::other)?;
            if !fault.borrow().holds(Way::Request) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        let socket = TcpSocket::new_v4()?;
        socket.bind((route.from, 0).into())?;
        let far = Arc::new(socket.connect(route.to).await?);
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (there, mut back) = (chance.clone(), Rng::with_seed(chance.clone().u64(..)));
        let (requests, answers) = both_sides(&near, back.fork());
        let both = tokio::try_join!(
            copy_requests(&near, &far, requests, &route.passed, fault.clone(), there),
            copy_answers(&far, &near, answers, &route, fault.clone(), back)
        );
        match both {
            // Nothing more passes: both sides are closed in order.
            Err(e) if e.kind() == CLOSED => Ok(()),
            Err(e) => {
                reset(&far);
                Err(e)
            }
            Ok(_) => Ok(()),
        }
    };
    if forwarding.await.is_err() {
        reset(&near);
    }
}

/// Makes the connection be reset when it is closed.
pub fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// The kind of error by which a direction says that the connection is to be closed, and not reset.
const CLOSED: io::ErrorKind = io::ErrorKind::ConnectionAborted;

fn reset_error() -> io::Error {
    io::ErrorKind::ConnectionReset.into()
}

/// Bytes that one direction has to pass on, and the fault in force; no bytes at the end.
async fn next_chunk<'a>(
    from: &TcpStream,
    way: Way,
    buffer: &'a mut [u8],
    fault: &mut watch::Receiver<LinkFault>,
    held: &mut bool,
) -> io::Result<(&'a [u8], LinkFault)> {
    loop {
        let now = *fault.borrow_and_update();
        if now == LinkFault::Cut || (*held && !now.holds(way)) {
            return Err(reset_error());
        }
        *held = now.holds(way);
        tokio::select! {
            biased;
            changed = fault.changed() => changed.map_err(io::Error::other)?,
            read = read(from, buffer), if !*held => return Ok((&buffer[..read?], now)),
        }
    }
}

/// Applies the faults that both directions have in common; half of the bytes pass before a reset.
async fn delay_or_reset(
    to: &TcpStream,
    way: Way,
    bytes: &[u8],
    fault: LinkFault,
    chance: &mut Rng,
) -> io::Result<()> {
    match fault {
        LinkFault::Slow(by) => sleep(by).await,
        LinkFault::Reset(reset_way, share) if reset_way == way && chance.f64() < share => {
            write_all(to, &bytes[..bytes.len() / 2]).await?;
            return Err(reset_error());
        }
        _ => {}
    }
    Ok(())
}

async fn copy_requests(
    near: &TcpStream,
    far: &TcpStream,
    mut requests: Requests,
    passed: &PassedBytes,
    mut fault: watch::Receiver<LinkFault>,
    mut chance: Rng,
) -> io::Result<()> {
    let (mut buffer, mut held) = (vec![0; CHUNK], false);
    loop {
        let (bytes, now) = next_chunk(near, Way::Request, &mut buffer, &mut fault, &mut held).await?;
        if bytes.is_empty() {
            return end_writing(far);
        }
        if requests.before_chunk().await? == Passage::Dropped {
            return Err(CLOSED.into());
        }
        delay_or_reset(far, Way::Request, bytes, now, &mut chance).await?;
        write_all(far, bytes).await?;
        passed.add(Way::Request, bytes.len());
    }
}

async fn copy_answers(
    far: &TcpStream,
    near: &TcpStream,
    mut answers: Answers,
    route: &Route,
    mut fault: watch::Receiver<LinkFault>,
    mut chance: Rng,
) -> io::Result<()> {
    let mut inspect = route.inspect.as_ref().map(|inspect| inspect());
    let (mut buffer, mut held) = (vec![0; CHUNK], false);
    loop {
        let (bytes, now) = next_chunk(far, Way::Answer, &mut buffer, &mut fault, &mut held).await?;
        if bytes.is_empty() {
            return end_writing(near);
        }
        if let Some(inspect) = &mut inspect {
            inspect(bytes);
        }
        delay_or_reset(near, Way::Answer, bytes, now, &mut chance).await?;
        let spoilt = *route.answer_fault.borrow();
        if answers.pass(bytes, spoilt).await? == Passage::Dropped {
            return Err(CLOSED.into());
        }
        route.passed.add(Way::Answer, bytes.len());
    }
}

/// Faults of each datagram, as probabilities.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    pub lost: f64,
    pub doubled: f64,
    pub late: f64,
    pub late_by: Duration,
}

/// Delay of each forwarded copy of a datagram; empty if it is lost.
pub fn copy_delays(faults: &DatagramFaults, chance: &mut Rng) -> Vec<Duration> {
    if chance.f64() < faults.lost {
        return Vec::new();
    }
    let copies = 1 + usize::from(chance.f64() < faults.doubled);
    let late = |chance: &mut Rng| {
        let late = chance.f64() < faults.late;
        if late {
            faults.late_by.mul_f64(chance.f64())
        } else {
            Duration::ZERO
        }
    };
    (0..copies).map(|_| late(chance)).collect()
}

/// Relays datagrams between two couriers: each sends to a socket that represents the other.
pub struct Datagrams {
    _tasks: JoinSet<()>,
}

impl Datagrams {
    /// `ends`: each courier's own address for notes. `sockets`: the socket that represents the second courier to the
    /// first, and the one that represents the first to the second.
    pub fn start(
        ends: [SocketAddr; 2],
        sockets: [UdpSocket; 2],
        faults: DatagramFaults,
        seed: u64,
    ) -> Datagrams {
        let mut tasks = JoinSet::new();
        let sockets = sockets.map(std::sync::Arc::new);
        for side in 0..2 {
            let (near, far) = (sockets[side].clone(), sockets[1 - side].clone());
            let mut chance = Rng::with_seed(seed.wrapping_add(side as u64));
            tasks.spawn(async move {
                let (mut buffer, mut late) = ([0; 2048], JoinSet::new());
                loop {
                    tokio::select! {
                        Some(_) = late.join_next() => {}
                        received = near.recv_from(&mut buffer) => {
                            let Ok((length, from)) = received else { continue };
                            if from != ends[side] {
                                continue;
                            }
                            for delay in copy_delays(&faults, &mut chance) {
                                let (note, far) = (buffer[..length].to_vec(), far.clone());
                                let at = Instant::now() + delay;
                                late.spawn(async move {
                                    sleep_until(at).await;
                                    let _ = far.send_to(&note, ends[1 - side]).await;
                                });
                            }
                        }
                    }
                }
            });
        }
        Datagrams { _tasks: tasks }
    }
}

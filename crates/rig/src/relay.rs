//! Links with fault injection. TCP traffic passes a relay on loopback that can cut the link, block one direction or
//! both, add delay, or reset the connection in the middle of a request or an answer. Datagrams can be lost, duplicated
//! and delayed, and are thereby reordered.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

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
    _task: JoinSet<()>,
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
        let (mut task, passed) = (JoinSet::new(), Arc::new(PassedBytes::default()));
        let way = (from, to, passed.clone(), inspect);
        task.spawn(listen(address, listener, fault_in, way, Rng::with_seed(seed)));
        Ok(Relay { address, passed, fault, _task: task })
    }

    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

/// Source address, target, byte counters, and inspector of the connections of a relay.
type Route = (IpAddr, SocketAddr, Arc<PassedBytes>, Option<InspectorFactory>);

async fn listen(
    address: SocketAddr,
    listener: TcpListener,
    mut fault: watch::Receiver<LinkFault>,
    way: Route,
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
                    connections.spawn(forward(stream, fault.clone(), way.clone(), chance.fork()));
                }
                Err(_) => sleep(Duration::from_millis(10)).await,
            },
            // Discard tasks that have ended.
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn forward(
    mut near: TcpStream,
    mut fault: watch::Receiver<LinkFault>,
    (from, to, passed, inspect): Route,
    chance: Rng,
) {
    let forwarding = async {
        // While requests are blocked, do not connect to the far side; reset waiting connections when the fault ends.
        while fault.borrow_and_update().holds(Way::Request) {
            fault.changed().await.map_err(io::Error::other)?;
            if !fault.borrow().holds(Way::Request) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
        }
        let socket = TcpSocket::new_v4()?;
        socket.bind((from, 0).into())?;
        let mut far = socket.connect(to).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (near_in, near_out) = near.split();
        let (far_in, far_out) = far.split();
        let (there, back) = (chance.clone(), Rng::with_seed(chance.clone().u64(..)));
        let both = tokio::try_join!(
            copy(near_in, far_out, (Way::Request, &passed, None), fault.clone(), there),
            copy(
                far_in,
                near_out,
                (Way::Answer, &passed, inspect.map(|inspect| inspect())),
                fault.clone(),
                back
            )
        );
        if both.is_err() {
            reset(&far);
        }
        both.map(drop)
    };
    if forwarding.await.is_err() {
        reset(&near);
    }
}

/// Makes the connection be reset when it is closed.
pub fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    (way, passed, mut inspect): (Way, &PassedBytes, Option<Inspector>),
    mut fault: watch::Receiver<LinkFault>,
    mut chance: Rng,
) -> io::Result<()> {
    let reset_error = || Err(io::ErrorKind::ConnectionReset.into());
    let mut buffer = vec![0; 16 << 10];
    let mut held = false;
    loop {
        let now = *fault.borrow_and_update();
        if now == LinkFault::Cut || (held && !now.holds(way)) {
            return reset_error();
        }
        held = now.holds(way);
        let read = tokio::select! {
            biased;
            changed = fault.changed() => {
                changed.map_err(io::Error::other)?;
                continue;
            }
            read = from.read(&mut buffer), if !held => read?,
        };
        if read == 0 {
            return to.shutdown().await;
        }
        if let Some(inspect) = &mut inspect {
            inspect(&buffer[..read]);
        }
        match now {
            LinkFault::Slow(by) => sleep(by).await,
            LinkFault::Reset(reset_way, share) if reset_way == way && chance.f64() < share => {
                to.write_all(&buffer[..read / 2]).await?;
                return reset_error();
            }
            _ => {}
        }
        to.write_all(&buffer[..read]).await?;
        passed.add(way, read);
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

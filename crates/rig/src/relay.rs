//! A link with a knob: what goes over it passes a relay on loopback, which can cut it, hold it back one way or both,
//! slow it down, or reset it in the middle of a request or an answer. For datagrams: loss, doubling, lateness, and by
//! that another order.

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

/// Which way something goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From whoever connected.
    Request,
    Answer,
}

/// How a link is out of order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LinkFault {
    #[default]
    None,
    /// New connections are refused, open ones reset.
    Cut,
    /// Connections open and stay open, and nothing goes this way; when it is over they are reset.
    Held(Way),
    /// Half-open: nothing goes either way.
    Silent,
    /// Each piece takes so much longer.
    Slow(Duration),
    /// A piece that goes this way is passed on by half with this chance, and the connection reset.
    Reset(Way, f64),
}

impl LinkFault {
    fn holds(self, way: Way) -> bool {
        self == LinkFault::Silent || self == LinkFault::Held(way)
    }
}

/// Bytes that have been passed on, each way.
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

    /// Requests, answers.
    pub fn both(&self) -> [u64; 2] {
        [&self.requests, &self.answers].map(|count| count.load(Ordering::Relaxed))
    }
}

/// Looks at what goes back over a connection, before it is passed on; made anew for each.
pub type InspectorFactory = Arc<dyn Fn() -> Inspector + Send + Sync>;
pub type Inspector = Box<dyn FnMut(&[u8]) + Send>;

/// A relay of TCP connections from its own address to another. It ends when it is dropped.
pub struct Relay {
    pub address: SocketAddr,
    pub passed: Arc<PassedBytes>,
    fault: watch::Sender<LinkFault>,
    _task: JoinSet<()>,
}

impl Relay {
    /// Listens at a port of `at`, and connects onwards to `to` from the address `from`, by which the far side
    /// knows whose link it is.
    ///
    /// # Errors
    /// Where no port can be had.
    pub async fn start(at: IpAddr, from: IpAddr, to: SocketAddr, seed: u64) -> io::Result<Relay> {
        Relay::start_with_inspector(at, from, to, seed, None).await
    }

    /// The same, with a look at each answer.
    ///
    /// # Errors
    /// Where no port can be had.
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

/// From which address, to where, what counts it, and what looks at it.
type Route = (IpAddr, SocketAddr, Arc<PassedBytes>, Option<InspectorFactory>);

async fn listen(
    address: SocketAddr,
    listener: TcpListener,
    mut fault: watch::Receiver<LinkFault>,
    way: Route,
    mut chance: Rng,
) {
    let (mut listener, mut open) = (Some(listener), JoinSet::new());
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
                // The port is not free yet.
                None => Err(io::ErrorKind::AddrInUse.into()),
            }
        };
        tokio::select! {
            changed = fault.changed() => if changed.is_err() { return },
            accepted = accepted => match accepted {
                Ok((stream, _)) => {
                    open.spawn(forward(stream, fault.clone(), way.clone(), chance.fork()));
                }
                Err(_) => sleep(Duration::from_millis(10)).await,
            },
            // Those that have ended are forgotten.
            Some(_) = open.join_next() => {}
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
        // Nobody is reached through a link that is silent, and what waited there is reset in the end.
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

/// A connection that is closed from now on is reset.
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

/// What befalls each datagram, as chances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    pub lost: f64,
    pub doubled: f64,
    pub late: f64,
    pub late_by: Duration,
}

/// How much later each copy of a datagram is passed on; none: it is lost.
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

/// A pair of sockets between two couriers: each sends to the one that stands for the other.
pub struct Datagrams {
    _tasks: JoinSet<()>,
}

impl Datagrams {
    /// `ends`: each courier's own address for notes. `sockets`: what stands for the second at the first, and for the
    /// first at the second.
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

//! Each link fault has the described effect, and none after it has been removed.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use meadowhold_rig::relay::{copy_delays, DatagramFaults, Datagrams, LinkFault, Relay, Way};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{timeout, Instant};

const HERE: Ipv4Addr = Ipv4Addr::LOCALHOST;
/// How long the tests wait to see that blocked data does not arrive.
const HELD_WAIT: Duration = Duration::from_millis(150);
const TIMEOUT: Duration = Duration::from_secs(5);

struct Ends {
    relay: Relay,
    far: TcpListener,
}

impl Ends {
    async fn new() -> Ends {
        let far = TcpListener::bind((HERE, 0)).await.unwrap();
        let relay = Relay::start(HERE.into(), HERE.into(), far.local_addr().unwrap(), 7).await.unwrap();
        Ends { relay, far }
    }

    async fn pair(&self) -> (TcpStream, TcpStream) {
        let near = TcpStream::connect(self.relay.address).await.unwrap();
        let (far, _) = timeout(TIMEOUT, self.far.accept()).await.unwrap().unwrap();
        (near, far)
    }
}

/// Sends eight bytes and returns how many arrive before the stream ends or `patience` passes without data.
async fn pass(from: &mut TcpStream, to: &mut TcpStream, patience: Duration) -> usize {
    from.write_all(b"01234567").await.unwrap();
    let (mut all, mut buffer) = (0, [0; 8]);
    while let Ok(Ok(read @ 1..)) = timeout(patience, to.read(&mut buffer)).await {
        all += read;
        if all == 8 {
            break;
        }
    }
    all
}

async fn is_reset(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    let ended = timeout(TIMEOUT, stream.read_to_end(&mut rest)).await;
    ended.unwrap().is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset)
}

#[tokio::test]
async fn a_link_without_fault_forwards_both_ways_and_closes_with_its_ends() {
    let ends = Ends::new().await;
    let (mut near, mut far) = ends.pair().await;
    assert_eq!(pass(&mut near, &mut far, TIMEOUT).await, 8);
    assert_eq!(pass(&mut far, &mut near, TIMEOUT).await, 8);
    drop(near);
    assert_eq!(timeout(TIMEOUT, far.read(&mut [0; 8])).await.unwrap().unwrap(), 0);
}

#[tokio::test]
async fn a_cut_link_resets_open_connections_refuses_new_ones_and_recovers_on_the_same_port() {
    let ends = Ends::new().await;
    let (mut near, mut far) = ends.pair().await;
    ends.relay.set(LinkFault::Cut);
    assert!(is_reset(&mut near).await && is_reset(&mut far).await);
    let refused = TcpStream::connect(ends.relay.address).await.unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    ends.relay.set(LinkFault::None);
    let end = Instant::now() + TIMEOUT;
    while TcpStream::connect(ends.relay.address).await.is_err() {
        assert!(Instant::now() < end, "it does not come back");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn blocked_data_does_not_arrive_and_the_connection_is_reset_afterwards() {
    // (fault, whether requests arrive, whether answers arrive)
    let rows = [
        (LinkFault::Held(Way::Request), false, true),
        (LinkFault::Held(Way::Answer), true, false),
        (LinkFault::Silent, false, false),
    ];
    for (fault, requests, answers) in rows {
        let ends = Ends::new().await;
        let (mut near, mut far) = ends.pair().await;
        ends.relay.set(fault);
        let patience = |comes| if comes { TIMEOUT } else { HELD_WAIT };
        assert_eq!(
            pass(&mut near, &mut far, patience(requests)).await,
            if requests { 8 } else { 0 },
            "{fault:?}"
        );
        assert_eq!(
            pass(&mut far, &mut near, patience(answers)).await,
            if answers { 8 } else { 0 },
            "{fault:?}"
        );
        ends.relay.set(LinkFault::None);
        assert!(is_reset(&mut near).await, "{fault:?}");
    }
}

#[tokio::test]
async fn a_silent_link_opens_no_connection_to_the_far_side() {
    let ends = Ends::new().await;
    ends.relay.set(LinkFault::Silent);
    let mut near = TcpStream::connect(ends.relay.address).await.unwrap();
    assert!(timeout(HELD_WAIT, ends.far.accept()).await.is_err());
    ends.relay.set(LinkFault::None);
    assert!(is_reset(&mut near).await);
}

#[tokio::test]
async fn a_slow_link_delays_data() {
    let ends = Ends::new().await;
    let (mut near, mut far) = ends.pair().await;
    ends.relay.set(LinkFault::Slow(HELD_WAIT));
    let start = Instant::now();
    assert_eq!(pass(&mut near, &mut far, TIMEOUT).await, 8);
    assert!(start.elapsed() >= HELD_WAIT);
}

#[tokio::test]
async fn a_reset_cuts_a_transfer_in_its_direction_in_half() {
    for way in [Way::Request, Way::Answer] {
        let ends = Ends::new().await;
        let (mut near, mut far) = ends.pair().await;
        ends.relay.set(LinkFault::Reset(way, 1.0));
        let (from, to) = if way == Way::Request { (&mut near, &mut far) } else { (&mut far, &mut near) };
        // At most half arrives: the reset may discard data that has not been read yet.
        assert!(pass(from, to, TIMEOUT).await <= 4, "{way:?}");
        assert!(is_reset(from).await, "{way:?}");
    }
}

#[test]
fn datagram_faults_follow_their_probabilities() {
    let late_by = Duration::from_millis(100);
    let faults = DatagramFaults { lost: 0.2, doubled: 0.1, late: 0.5, late_by };
    let mut chance = fastrand::Rng::with_seed(5);
    let all: Vec<Vec<Duration>> = (0..10_000).map(|_| copy_delays(&faults, &mut chance)).collect();
    let part =
        |holds: &dyn Fn(&Vec<Duration>) -> bool| all.iter().filter(|fate| holds(fate)).count() as f64 / 1e4;
    assert!((part(&|fate| fate.is_empty()) - 0.2).abs() < 0.02);
    assert!((part(&|fate| fate.len() == 2) - 0.08).abs() < 0.01);
    assert!((part(&|fate| fate.first().is_some_and(|late| !late.is_zero())) - 0.4).abs() < 0.02);
    assert!(all.iter().flatten().all(|&late| late < late_by));
}

#[tokio::test]
async fn notes_arrive_duplicated_and_reordered_from_the_address_that_represents_the_sender() {
    let socket = || async { UdpSocket::bind((HERE, 0)).await.unwrap() };
    let (a, b, for_b, for_a) = (socket().await, socket().await, socket().await, socket().await);
    let place = |socket: &UdpSocket| -> SocketAddr { socket.local_addr().unwrap() };
    let (at_a, at_b) = (place(&for_b), place(&for_a));
    let faults = DatagramFaults { lost: 0.0, doubled: 1.0, late: 0.5, late_by: Duration::from_millis(100) };
    let _notes = Datagrams::start([place(&a), place(&b)], [for_b, for_a], faults, 3);
    for number in 0..20u8 {
        a.send_to(&[number], at_a).await.unwrap();
    }
    let mut came = Vec::new();
    for _ in 0..40 {
        let mut buffer = [0; 8];
        let (length, from) = timeout(TIMEOUT, b.recv_from(&mut buffer)).await.unwrap().unwrap();
        assert_eq!((length, from), (1, at_b));
        came.push(buffer[0]);
    }
    assert!(!came.is_sorted(), "{came:?}");
    came.sort();
    assert!((0..20).all(|number| came[2 * number as usize..][..2] == [number; 2]), "{came:?}");
}

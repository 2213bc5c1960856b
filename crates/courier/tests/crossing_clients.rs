//! Client connections that end around the acceptance of a mail, and requests that are read late, in parts, or
//! while other clients hold all connections.

mod common;

use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    command, put, settings, unique_address, wait_until, Client, Courier, Endpoint, Folder, Platform, Reply,
};
use meadowhold_courier::clients::{listen, Limits, Phase};
use meadowhold_courier::discovery::List;
use meadowhold_courier::exchange::{Exchange, Shared};
use meadowhold_courier::journal::Journal;
use meadowhold_settings::decode_json;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc::unbounded_channel, watch};
use tokio::task::LocalSet;

const LIFETIME: &str = "d=8000";

fn setup(change: impl FnOnce(&mut Value)) -> (Platform, Endpoint, Courier) {
    let (platform, endpoint) = (Platform::new(), Endpoint::new(&[]));
    platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
    let courier = Courier::start(&platform, change);
    (platform, endpoint, courier)
}

fn sleep_until(since: Instant, ms: u64) {
    thread::sleep((since + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
}

/// Client connections served within the test process with small socket buffers, so that a write stops where
/// the client stops reading.
struct InProcess {
    shared: Shared,
    address: SocketAddr,
    phase: watch::Sender<Phase>,
    _folder: Folder,
}

impl InProcess {
    /// Needs a `LocalSet`. No mail is sent, since nothing runs the turns.
    fn new() -> InProcess {
        let (folder, mut settings) = (Folder::new(), settings());
        settings["Limits"]["MaxOpen"] = json!(256);
        let decoded = decode_json(1, &settings).unwrap();
        let (orders, notices) = (unbounded_channel().0, unbounded_channel().0);
        let journal = Journal::open(&folder.path, 3_000_000).unwrap();
        let mut exchange = Exchange::new(decoded, journal, orders, notices, None);
        let entry = json!({"name": "e1", "address": "127.0.0.1:9", "zone": "a", "type": "single", "group": 7,
            "status": "SERVING", "weight": 1000.0});
        let list: List =
            serde_json::from_value(json!({"index": 2, "snapshot": true, "endpoints": [entry]})).unwrap();
        exchange.listed(&list);
        let shared = Rc::new(std::cell::RefCell::new(exchange));
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        // Accepted sockets inherit this.
        socket.set_send_buffer_size(4096).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(64).unwrap();
        socket.set_nonblocking(true).unwrap();
        let listener = tokio::net::TcpListener::from_std(socket.into()).unwrap();
        let address = listener.local_addr().unwrap();
        let (phase, phase_in) = watch::channel(Phase::Serving);
        tokio::task::spawn_local(listen(
            shared.clone(),
            listener,
            Limits { sockets: 64, input_memory: 1 << 20 },
            Rc::default(),
            phase_in,
        ));
        InProcess { shared, address, phase, _folder: folder }
    }

    fn client(&self) -> tokio::net::TcpStream {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&self.address.into()).unwrap();
        socket.set_nonblocking(true).unwrap();
        tokio::net::TcpStream::from_std(socket.into()).unwrap()
    }

    fn in_hand(&self) -> usize {
        self.shared.borrow().in_hand()
    }

    /// Longer than the courier waits for a client to read; what the operating system has buffered is still there.
    async fn wait_for_closes(&self) {
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }

    /// Waits until the courier has closed its side, and only then reads the rest.
    async fn read_to_close(&self, client: &mut tokio::net::TcpStream) -> String {
        self.wait_for_closes().await;
        read_closed(client).await
    }
}

/// Reads the rest of a connection of which the courier has closed its side.
async fn read_closed(client: &mut tokio::net::TcpStream) -> String {
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let mut rest = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(3), client.read_to_end(&mut rest)).await;
    // A reset discards what was not read, and so what the client has not read.
    let _ = read.expect("our side ends");
    String::from_utf8(rest).unwrap()
}

/// How many acceptances the clients can read, of whose connections the courier has closed its side.
async fn count_readable(clients: Vec<tokio::net::TcpStream>) -> usize {
    let read =
        |mut client| tokio::task::spawn_local(async move { count_ok(&read_closed(&mut client).await) });
    let mut readable = 0;
    for count in clients.into_iter().map(read).collect::<Vec<_>>() {
        readable += count.await.unwrap();
    }
    readable
}

/// Runs a test's tasks on this thread.
fn on_one_thread(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Unknown commands of two bytes, each with an answer of 22 bytes.
fn unknown_commands(many: usize) -> Vec<u8> {
    b"x\n".repeat(many)
}

fn count_ok(answers: &str) -> usize {
    answers.matches("+OK\r\n").count()
}

#[test]
fn only_mails_whose_acceptance_may_have_reached_the_client_are_kept() {
    on_one_thread(async {
        let served = InProcess::new();
        let one = |name: &str| put("0", name, "again", LIFETIME, b"x");
        // Where the answers are cut depends on the socket buffers: before, within, between or after those
        // that matter.
        let mut ways: Vec<Vec<u8>> = vec![
            [one("first"), unknown_commands(1800)].concat(),
            [unknown_commands(1800), one("last")].concat(),
            [one("a"), unknown_commands(500), one("b"), unknown_commands(20)].concat(),
        ];
        // Answers are written in parts: the cut must fall into the part that has the mail's.
        ways.extend(
            (400..1000).step_by(15).map(|many| [unknown_commands(many), one(&format!("cut{many}"))].concat()),
        );
        for many in 0..12 {
            let mails =
                (0..6).map(|i| [one(&format!("{many}-{i}")), unknown_commands(20 * many + 7)].concat());
            ways.push([mails.collect::<Vec<_>>().concat(), unknown_commands(1000)].concat());
        }
        let mut clients = Vec::new();
        for way in &ways {
            let mut client = served.client();
            client.write_all(way).await.unwrap();
            clients.push(client);
        }
        served.wait_for_closes().await;
        let acknowledged = count_readable(clients).await;
        let counts = served.shared.borrow().counts;
        assert!(
            counts.taken as usize > acknowledged && acknowledged > 2,
            "some are cut off: {acknowledged} of {}",
            counts.taken
        );
        assert_eq!(served.in_hand(), acknowledged, "{counts:?}");
        assert_eq!(served.phase.send_replace(Phase::Closing), Phase::Serving);
    });
}

#[test]
fn a_client_that_reads_only_one_answer_is_owed_that_mail() {
    on_one_thread(async {
        let served = InProcess::new();
        let mut client = served.client();
        client
            .write_all(&[put("0", "01", "once", LIFETIME, b"x"), unknown_commands(1800)].concat())
            .await
            .unwrap();
        let mut first = [0; 5];
        client.read_exact(&mut first).await.unwrap();
        assert_eq!(&first, b"+OK\r\n");
        assert_eq!(count_ok(&served.read_to_close(&mut client).await), 0);
        assert_eq!(served.in_hand(), 1, "its client has read the acceptance");
    });
}

#[test]
fn a_mail_whose_acceptance_another_client_has_read_is_not_dropped() {
    on_one_thread(async {
        let served = InProcess::new();
        // Accepted, but the clients cannot learn so, since they do not read their answers. Where the answers are cut
        // depends on the socket buffers.
        let mail = |many: usize| put("0", &format!("mail{many}"), "once", LIFETIME, b"x");
        let counts: Vec<usize> = (0..600).step_by(12).collect();
        let mut deaf = Vec::new();
        for &many in &counts {
            let mut client = served.client();
            client
                .write_all(&[unknown_commands(many), mail(many), unknown_commands(600)].concat())
                .await
                .unwrap();
            deaf.push(client);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        let accepted = served.in_hand();
        let mut other = served.client();
        for &many in &counts {
            other.write_all(&mail(many)).await.unwrap();
            let mut answer = [0; 5];
            other.read_exact(&mut answer).await.unwrap();
            assert_eq!(&answer, b"+OK\r\n");
        }
        served.wait_for_closes().await;
        let acknowledged = count_readable(deaf).await;
        assert!(accepted > acknowledged, "some are cut off: {acknowledged} of {accepted}");
        assert_eq!(served.in_hand(), counts.len());
    });
}

#[test]
fn a_request_that_is_read_late_is_answered_however_long_the_connection_was_idle() {
    let (_platform, endpoint, courier) = setup(|_| {});
    let big = put("0", "big", "once", LIFETIME, &[b'x'; 60_000]);
    let half = put("0", "half", "once", LIFETIME, &[b'x'; 60_000]);
    let mut clients: Vec<Client> = (0..3).map(|_| courier.client()).collect();
    let first: [&[u8]; 3] = [b"PING\r\n", b"PING\r\n", &[b"PING\r\n", &half[..100]].concat()];
    for (client, first) in clients.iter_mut().zip(first) {
        assert_eq!(client.request(first), "+PONG");
    }
    courier.signal("-STOP");
    let stopped = Instant::now();
    // Past the idle timeout and the command timeout, by more than a second.
    sleep_until(stopped, 3400);
    let rest: [&[u8]; 3] = [&put("0", "small", "once", LIFETIME, b"x"), &big, &half[100..]];
    for (client, rest) in clients.iter_mut().zip(rest) {
        client.stream.get_mut().write_all(rest).unwrap();
    }
    courier.signal("-CONT");
    let answers: Vec<String> = clients.iter_mut().map(Client::read_line).collect();
    assert_eq!(answers, ["+OK"; 3]);
    wait_until("their calls", || endpoint.calls().len() == 3);
}

#[test]
fn new_clients_are_served_while_idle_ones_hold_every_connection() {
    let (_platform, _endpoint, courier) = setup(|config| config["limits"]["sockets"] = json!(900));
    // A third of the sockets is for clients. None of these sends a command, or closes its side when the
    // courier does.
    let idle: Vec<TcpStream> = (0..330).map(|_| TcpStream::connect(courier.listen).unwrap()).collect();
    wait_until("the connections to be used up", || courier.sockets() >= 300);
    for i in 0..10 {
        let asked = Instant::now();
        assert_eq!(courier.client().put(&i.to_string(), "again", LIFETIME), "+OK");
        // It took 1.5 s and more when each idle client was closed before the first descriptor was free.
        assert!(asked.elapsed() < Duration::from_millis(900), "{i}: {:?}", asked.elapsed());
    }
    drop(idle);
}

#[test]
fn a_client_that_always_has_half_a_command_sent_is_closed_before_the_exit() {
    let (_platform, _endpoint, mut courier) = setup(|_| {});
    let mut steady = courier.client();
    steady.stream.get_mut().write_all(b"PI").unwrap();
    assert_eq!(steady.request(b"NG\r\nPI"), "+PONG");
    let asked = Instant::now();
    courier.signal("-TERM");
    let mut line = String::new();
    let end = loop {
        line.clear();
        let said = steady.stream.get_mut().write_all(b"NG\r\nPI");
        let mut byte = [0];
        match said.and_then(|()| steady.stream.read(&mut byte)) {
            Ok(0) => break Ok(()),
            Ok(_) => drop(std::io::BufRead::read_line(&mut steady.stream, &mut line)),
            Err(e) => break Err(e.kind()),
        }
        assert!(asked.elapsed() < Duration::from_secs(5));
        thread::sleep(Duration::from_millis(20));
    };
    assert!(courier.ended().is_none(), "the process exited before the close: {end:?}");
    assert_eq!(end, Ok(()));
    steady.stream.get_ref().shutdown(Shutdown::Both).unwrap();
    wait_until("the process to exit", || courier.ended().is_some());
    assert!(asked.elapsed() < Duration::from_millis(3700), "the platform kills then");
}

/// Memory that a process holds, in bytes.
fn resident_bytes(id: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 1024
}

#[test]
fn undelivered_notices_keep_no_bodies_in_memory() {
    let platform = Platform::new();
    platform.state.lock().unwrap().notices_to_reject = usize::MAX;
    platform.set_entry("e1", unique_address(), "single", 7, "DRAINING");
    let (folder, listen) = (Folder::new(), unique_address());
    let config = common::config(&platform, listen);
    let mut child = command(&folder, &config, "serve").spawn().unwrap();
    common::wait_until_ready(listen);
    let mut client = Client::connect(listen).unwrap();
    let (mut before, mut taken) = (0, 0);
    let start = Instant::now();
    while taken < 1200 {
        match &client.request(&put("0", &taken.to_string(), "again", "d=1", &[b'x'; 60_000]))[..] {
            "+OK" => taken += 1,
            "-BUSY" => thread::sleep(Duration::from_millis(1)),
            other => panic!("{other}"),
        }
        before = if taken == 100 { resident_bytes(child.id()) } else { before };
        assert!(start.elapsed() < Duration::from_secs(60), "{taken}");
    }
    let grown = resident_bytes(child.id()).saturating_sub(before);
    child.kill().unwrap();
    child.wait().unwrap();
    // The bodies total 66 MB.
    assert!(grown < 16 << 20, "{} MB for {taken} notices", grown >> 20);
}

/// Posts of notices: the status of the answer, 0 for none, and the text.
type Posts = Arc<Mutex<Vec<(u16, String)>>>;

/// An agent without a list. `status` chooses the answer to each post of notices by its text. Returns the
/// address and the posts with their answers.
fn agent(status: impl Fn(&str) -> Option<u16> + Send + Sync + 'static) -> (SocketAddr, Posts) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let posts: Posts = Arc::default();
    let seen = posts.clone();
    common::serve(listener, move |request, out| {
        if request.target != "/v1/notices" {
            return write!(out, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n").is_ok();
        }
        let text = String::from_utf8(request.body).unwrap();
        let status = status(&text);
        seen.lock().unwrap().push((status.unwrap_or(0), text));
        match status {
            Some(204) => write!(out, "HTTP/1.1 204 X\r\n\r\n").is_ok(),
            Some(status) => write!(out, "HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n").is_ok(),
            // No answer until the courier closes the connection.
            None => {
                let _ = out.try_clone().unwrap().read(&mut [0]);
                false
            }
        }
    });
    (address, posts)
}

#[test]
fn a_notice_that_the_platform_rejects_does_not_delay_the_others() {
    let platform = Platform::new();
    platform.set_entry("e1", unique_address(), "single", 7, "DRAINING");
    let (address, posts) = agent(|text| Some(if text.contains("\"odd-") { 400 } else { 204 }));
    let courier = Courier::start(&platform, |config| {
        config["discovery"] = json!(address.to_string());
        config["settings"]["Limits"]["MaxOpen"] = json!(10_000);
    });
    let mut client = courier.client();
    let (mut mails, count) = (Vec::new(), 600);
    for i in 0..count {
        // The rejected ones are the first and two in the middle.
        let name = if [0, 200, 300].contains(&i) { "odd" } else { "even" };
        mails.extend(put("0", &format!("{name}-{i}"), "again", "d=1500", b"x"));
    }
    let writer = client.stream.get_ref().try_clone().unwrap();
    let sent = thread::spawn(move || (&writer).write_all(&mails));
    for i in 0..count {
        assert_eq!(client.read_line(), "+OK", "{i}");
    }
    sent.join().unwrap().unwrap();
    let accepted_count = || {
        let posts = posts.lock().unwrap();
        posts.iter().filter(|post| post.0 == 204).map(|post| post.1.lines().count()).sum::<usize>()
    };
    wait_until("the others' notices", || accepted_count() == count - 3);
    // Found by bisection. Earlier, a batch with one of them was sent again after each accepted notice.
    let refused = posts.lock().unwrap().iter().filter(|post| post.0 == 400).count();
    assert!(refused < 60, "{refused}");
    // Rejected notices are sent again, but rarely.
    let before = posts.lock().unwrap().len();
    wait_until("another try", || posts.lock().unwrap().len() > before);
    sleep_until(Instant::now(), 1000);
    let more = posts.lock().unwrap().len() - before;
    assert!(more < 10, "{more}");
    assert!(courier.owed().starts_with("odd-0 ") && courier.owed().contains("3 mails owed"));
}

#[test]
fn a_notice_in_flight_when_the_process_ends_is_sent_again_by_the_next() {
    let platform = Platform::new();
    for name in ["-TERM", "-KILL"] {
        let answers = Arc::new(AtomicBool::new(false));
        let says = answers.clone();
        let (address, posts) = agent(move |_| says.load(Ordering::SeqCst).then_some(204));
        let endpoint = Endpoint::new(&[Reply::Status(500, "")]);
        platform.set_entry("e1", endpoint.address, "single", 7, "SERVING");
        let mut courier = Courier::start(&platform, |c| c["discovery"] = json!(address.to_string()));
        assert_eq!(courier.client().put("01", "once", LIFETIME), "+OK");
        wait_until("its notice", || !posts.lock().unwrap().is_empty());
        courier.signal(name);
        wait_until("the process to exit", || courier.ended().is_some());
        assert!(courier.owed().contains("notice not yet heard"), "{name}");
        answers.store(true, Ordering::SeqCst);
        let before = posts.lock().unwrap().len();
        courier.restart();
        wait_until("all mails to be finished", || courier.owes_nothing());
        let posts = posts.lock().unwrap();
        assert!(posts.len() > before && posts.iter().all(|post| post.1 == posts[0].1), "{name}: {posts:?}");
        assert_eq!(endpoint.ids(), ["01"], "{name}");
    }
}

//! Membership of real courier processes, observed in their logs.

mod common;

use std::fs::{self, File};
use std::net::{SocketAddr, UdpSocket};
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};

use common::{command, config, output, unique_address, wait_until, wait_until_ready, Folder, Platform};
use serde_json::{json, Value};

struct Process {
    name: String,
    listen: SocketAddr,
    folder: Folder,
    config: Value,
    child: Child,
}

impl Process {
    /// `members`: the address for membership, on a port that is currently free, and those of the others.
    fn start(platform: &Platform, name: &str, members: Option<(SocketAddr, &[SocketAddr])>) -> Process {
        let listen = unique_address();
        let (folder, mut config) = (Folder::new(), config(platform, listen));
        config["name"] = json!(name);
        config["settings"]["Limits"]["MayTell"] = json!(true);
        config["peers"] = peers(unique_address(), members);
        let child = spawn(&folder, &config);
        let process = Process { name: name.to_string(), listen, folder, config, child };
        wait_until_ready(process.listen);
        process
    }

    fn log(&self) -> String {
        fs::read_to_string(self.folder.path.join("log")).unwrap_or_default()
    }

    /// How often the log contains `words`.
    fn count(&self, words: &str) -> usize {
        self.log().matches(words).count()
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    fn open_files(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    fn threads(&self) -> usize {
        fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap().count()
    }

    fn datagram_sockets(&self) -> usize {
        let held: Vec<String> = fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .filter_map(|entry| fs::read_link(entry.unwrap().path()).ok())
            .map(|link| link.to_string_lossy().into_owned())
            .collect();
        let all = fs::read_to_string("/proc/net/udp").unwrap();
        let nodes = all.lines().skip(1).filter_map(|line| line.split_whitespace().nth(9));
        nodes.filter(|node| held.contains(&format!("socket:[{node}]"))).count()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{}:\n{}", self.name, self.log());
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(folder: &Folder, config: &Value) -> Child {
    let log = File::options().create(true).append(true).open(folder.path.join("log")).unwrap();
    command(folder, config, "serve").env("RUST_LOG", "info").stderr(log).spawn().unwrap()
}

fn peers(listen: SocketAddr, members: Option<(SocketAddr, &[SocketAddr])>) -> Value {
    let mut peers = json!({"listen": listen.to_string(), "others": []});
    if let Some((listen, others)) = members {
        let others: Vec<String> = others.iter().map(SocketAddr::to_string).collect();
        peers["members"] = json!({"listen": listen.to_string(), "others": others});
    }
    peers
}

#[test]
fn five_processes_know_who_is_killed_who_stands_still_and_who_is_back() {
    let platform = Platform::new();
    let addresses: Vec<SocketAddr> = (0..5).map(|_| unique_address()).collect();
    let mut all: Vec<Process> = (0..5)
        .map(|i| Process::start(&platform, &format!("m{i}"), Some((addresses[i], &addresses))))
        .collect();
    let line = |i: usize, what: &str| format!("member m{i} at {} is {what}", addresses[i]);
    for one in &all {
        wait_until("that it knows all", || {
            (0..5).filter(|&i| one.name != format!("m{i}")).all(|i| one.count(&line(i, "up")) == 1)
        });
        assert_eq!(one.count("joined with the other couriers: "), 1);
    }
    let known = |all: &[Process], i: usize, what: &str, times: usize| {
        let mut others = all.iter().filter(|one| one.name != format!("m{i}"));
        others.all(|one| one.count(&line(i, what)) == times)
    };

    // One is killed, and its next process is a new member.
    let begin = Instant::now();
    all[1].child.kill().unwrap();
    all[1].child.wait().unwrap();
    wait_until("that m1 is down", || known(&all, 1, "down", 1));
    eprintln!("m1 found down after {:?}", begin.elapsed());
    all[1].child = spawn(&all[1].folder, &all[1].config);
    wait_until_ready(all[1].listen);
    wait_until("that m1 is back", || known(&all, 1, "back", 1));

    // One is stopped for five seconds: it is down, and back as soon as it continues.
    let begin = Instant::now();
    all[3].signal("-STOP");
    wait_until("that m3 is down", || known(&all, 3, "down", 1));
    eprintln!("m3 found down after {:?}", begin.elapsed());
    thread::sleep(Duration::from_secs(5).saturating_sub(begin.elapsed()));
    let begin = Instant::now();
    all[3].signal("-CONT");
    wait_until("that m3 is back", || known(&all, 3, "back", 1));
    eprintln!("m3 found back after {:?}", begin.elapsed());

    // One shuts down: it tells the others, which do not have to wait for a probe to fail.
    all[4].signal("-TERM");
    wait_until("its end", || all[4].child.try_wait().unwrap().is_some());
    assert_eq!(all[4].count("membership has ended"), 1);
    assert!(all[4].log().contains("faults: 0"));
    wait_until("that m4 is down", || known(&all[..4], 4, "down", 1));
    // No other member was ever considered down.
    for i in [0, 2] {
        assert!(known(&all, i, "down", 0));
    }
    assert!(all.iter().all(|one| !one.log().contains("membership has failed")));
}

#[test]
fn without_members_there_is_neither_thread_nor_socket() {
    let platform = Platform::new();
    let addresses = [unique_address(), unique_address()];
    let without = Process::start(&platform, "m0", None);
    let with = Process::start(&platform, "m1", Some((addresses[0], &addresses)));
    assert_eq!((without.threads(), with.threads()), (1, 2));
    assert_eq!((without.datagram_sockets(), with.datagram_sockets()), (1, 2));
    // The socket, the poller and its waker; connections of the test itself may still be closing.
    wait_until("three more open files", || with.open_files() == without.open_files() + 3);
}

#[test]
fn invalid_members_end_the_start_with_one_line() {
    let platform = Platform::new();
    let taken = UdpSocket::bind("127.0.0.1:0").unwrap();
    let taken = taken.local_addr().unwrap().to_string();
    let rows = [
        (
            json!({"listen": "here", "others": []}),
            "peers.members.listen is not an IPv4 address and port: here",
        ),
        (
            json!({"listen": "[::1]:1", "others": []}),
            "peers.members.listen is not an IPv4 address and port: [::1]:1",
        ),
        (
            json!({"listen": "127.0.0.1:0", "others": []}),
            "peers.members.listen must be an address that other couriers can reach",
        ),
        (
            json!({"listen": "0.0.0.0:99", "others": []}),
            "peers.members.listen must be an address that other couriers can reach",
        ),
        (
            json!({"listen": "127.0.0.1:9", "others": [""]}),
            "peers.members.others is not an IPv4 address and port",
        ),
        (
            json!({"listen": "127.0.0.1:9", "others": vec!["127.0.0.1:9"; 2049]}),
            "peers.members.others has more than 2048 addresses",
        ),
        (json!({"listen": "127.0.0.1:9"}), "missing field `others`"),
        (json!({"listen": "127.0.0.1:9", "others": [], "x": 1}), "unknown field `x`"),
        (json!({"listen": taken, "others": []}), "cannot listen for membership messages at"),
    ];
    for (members, words) in rows {
        let (folder, mut config) = (Folder::new(), config(&platform, unique_address()));
        config["settings"]["Limits"]["MayTell"] = json!(true);
        config["peers"] = peers(unique_address(), None);
        config["peers"]["members"] = members;
        let (success, log) = output(command(&folder, &config, "serve"));
        assert!(!success && log.contains(words) && log.trim_end().lines().count() == 1, "{words}: {log}");
    }
}

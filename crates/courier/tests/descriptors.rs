//! A courier with the minimum of file descriptors, by its configuration and by the system limit.

mod common;

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{
    command, output, put, unique_address, wait_until, Client, Endpoint, Folder, Platform, Reply, OK,
};
use serde_json::json;

const LONG_LIFETIME: &str = "d=8000";

/// Runs a command with a limit on open file descriptors.
fn with_descriptor_limit(command: &Command, most: usize) -> Child {
    let mut shell = Command::new("sh");
    shell.arg("-c").arg(format!("ulimit -n {most}; exec \"$0\" \"$@\"")).arg(command.get_program());
    shell.args(command.get_args()).env_clear();
    shell.envs(command.get_envs().filter_map(|(name, value)| Some((name, value?))));
    shell.spawn().unwrap()
}

fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill").args([name, &child.id().to_string()]).status().unwrap().success());
}

/// A discovery agent that answers notices only, not requests for the list. Returns its address and the notices received.
fn unresponsive_discovery() -> (SocketAddr, Arc<Mutex<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let notices: Arc<Mutex<String>> = Arc::default();
    let heard = notices.clone();
    common::serve(listener, move |request, out| {
        if request.target == "/v1/notices" {
            heard.lock().unwrap().push_str(std::str::from_utf8(&request.body).unwrap());
            return write!(out, "HTTP/1.1 204 X\r\n\r\n").is_ok();
        }
        // Keep the connection until the courier closes it.
        let _ = out.try_clone().unwrap().read(&mut [0]);
        false
    });
    (address, notices)
}

#[test]
fn mails_are_delivered_with_the_minimum_of_sockets_idle_clients_and_unresponsive_discovery() {
    let (platform, min_sockets) = (Platform::new(), 64);
    let slow = Endpoint::new(&vec![Reply::Delayed(1500, Box::new(OK)); 16]);
    platform.set_entry("e1", slow.address, "single", 7, "SERVING");
    let other = Endpoint::new(&[]);
    platform.set_entry("e2", other.address, "single", 8, "SERVING");
    platform.set_entry("e3", unique_address(), "single", 9, "DRAINING");
    let (agent, notices) = unresponsive_discovery();
    let (folder, listen) = (Folder::new(), unique_address());
    let mut config = common::config(&platform, listen);
    config["limits"]["sockets"] = json!(min_sockets);
    config["settings"]["FamilyInfo"]["Slots"] = json!(32);
    config["discovery"] = json!(agent.to_string());
    // The system enforces the same limit.
    let mut child = with_descriptor_limit(&command(&folder, &config, "serve"), min_sockets);
    common::wait_until_ready(listen);
    let id = child.id();
    let open = || fs::read_dir(format!("/proc/{id}/fd")).unwrap().count();
    let mut idle: Vec<TcpStream> = Vec::new();
    let mut connect_idle = |many: usize| {
        idle.extend((0..many).map(|_| TcpStream::connect(listen).unwrap()));
    };
    connect_idle(60);
    // Use up all connections that calls may have.
    for i in 0..16 {
        assert_eq!(Client::connect(listen).unwrap().put(&format!("s{i}"), "once", LONG_LIFETIME), "+OK");
    }
    wait_until("calls on all connections", || slow.connections().1 >= 9);
    connect_idle(60);
    let mut most = 0;
    for i in 0..5 {
        connect_idle(20);
        let asked = Instant::now();
        let said = Client::connect(listen).unwrap().request(&put(
            "0",
            &format!("n{i}"),
            "once",
            "d=200,dest=9",
            b"x",
        ));
        assert_eq!(said, "+OK");
        // This once took seconds: all idle clients were closed before the first descriptor was freed.
        assert!(asked.elapsed() < Duration::from_secs(3), "{:?}", asked.elapsed());
        most = most.max(open());
        wait_until("the notice", || notices.lock().unwrap().contains(&format!("\"n{i}\"")));
    }
    assert!(most <= min_sockets, "{most}");
    connect_idle(60);
    assert_eq!(Client::connect(listen).unwrap().put("c1", "once", LONG_LIFETIME), "+OK");
    // Once discovery answers, the list is received.
    config["discovery"] = json!(platform.address.to_string());
    fs::write(folder.path.join("config.json"), config.to_string()).unwrap();
    signal(&child, "-HUP");
    wait_until("a watch", || platform.state.lock().unwrap().watches > 0);
    connect_idle(60);
    platform.set_entry("e9", other.address, "single", 10, "SERVING");
    wait_until("a new destination", || {
        let said = Client::connect(listen).unwrap().request(&put("0", "new", "once", "d=4000,dest=10", b"x"));
        said == "+OK"
    });
    let owed = || String::from_utf8(command(&folder, &config, "owed").output().unwrap().stdout).unwrap();
    wait_until("settling of all mails", || owed().starts_with("0 mails owed; 0 bytes"));
    let mut ids = slow.ids();
    ids.sort();
    ids.dedup();
    assert_eq!((ids.len(), other.ids()), (17, vec!["new".to_string()]));
    signal(&child, "-TERM");
    drop(idle);
    wait_until("exit of the courier", || child.try_wait().unwrap().is_some());
}

#[test]
fn an_invalid_socket_limit_is_reported_in_one_line() {
    let platform = Platform::new();
    for (few, words) in
        [(json!(63), "under 64"), (json!(0), "under 64"), (json!(-1), "sockets"), (json!(1e30), "sockets")]
    {
        let (folder, mut config) = (Folder::new(), common::config(&platform, unique_address()));
        config["limits"]["sockets"] = few;
        let (success, said) = output(command(&folder, &config, "serve"));
        assert!(!success && said.contains(words) && said.trim_end().lines().count() == 1, "{said}");
    }
    for much in [json!(64), json!(u64::MAX)] {
        let (folder, mut config) = (Folder::new(), common::config(&platform, unique_address()));
        config["limits"]["sockets"] = much;
        assert_eq!(output(command(&folder, &config, "check")), (true, String::new()));
    }
}

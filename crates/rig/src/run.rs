//! Runs a day: starts couriers against mock services and fault-injecting relays, hands in the mails, applies the
//! troubles, and passes the observations to the judge.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::process::Signal;
use serde_json::{json, Value};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::client::{self, Habits, Pool};
use crate::crowd;
use crate::day::{Day, Link, Sent, Trouble, What};
use crate::endpoint::{Endpoint, IdCounter, Mode};
use crate::judge::{judge, FinalState, Verdict};
use crate::list::{Addresses, Entry, List, Mode as ListMode};
use crate::process::{faults_in, Courier};
use crate::record::{CallResult, ClientAnswer, HandIn, Observation, Process, Record};
use crate::relay::{DatagramFaults, Datagrams, LinkFault, Relay, SpoiltAnswers, Way};
use crate::schedule::{Class, DrawnTrouble, Mail, Schedule};

/// Ports on which couriers listen for clients and for notes; each courier has an address of its own.
const CLIENT_PORT: u16 = 6379;
const NOTE_PORT: u16 = 6380;
/// A run binds this port to claim its loopback network.
const CLAIM_PORT: u16 = 6378;
/// Time from SIGTERM to SIGKILL, and from the end of a process to the next start in a planned restart.
pub(crate) const TERM_GRACE: Duration = Duration::from_millis(3700);
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Fewer bytes than a record takes: the first write to a folder that fails is half done.
const PARTIAL_RECORD_BYTES: u64 = 40;
const POLL: Duration = Duration::from_millis(20);
/// Polling interval and time-out while waiting for the next answer that takes a mail. One millisecond, so that the
/// signal follows the answer closely.
const TAKEN_POLL: Duration = Duration::from_millis(1);
const NEXT_TAKEN_TIMEOUT: Duration = Duration::from_secs(1);

/// A loopback network, 127.x/16, that this run uses alone.
pub(crate) struct Net {
    x: u8,
    _claim: UdpSocket,
}

impl Net {
    /// Claims a network that no other run uses, in this process or another.
    pub(crate) fn claim() -> io::Result<Net> {
        // 201 and up: the couriers' own tests use the networks below.
        let (first, many) = (201u8, 54u32);
        let start = std::process::id() % many;
        for i in 0..many {
            let x = first + ((start + i) % many) as u8;
            if let Ok(claim) = UdpSocket::bind((Ipv4Addr::new(127, x, 255, 254), CLAIM_PORT)) {
                return Ok(Net { x, _claim: claim });
            }
        }
        Err(io::Error::other("all loopback networks from 127.201 to 127.254 are in use"))
    }

    pub(crate) fn ip(&self, row: u8, number: usize) -> IpAddr {
        Ipv4Addr::new(127, self.x, row, 1 + number as u8).into()
    }

    fn courier(&self, number: usize) -> IpAddr {
        self.ip(1, number)
    }

    /// Address on which a courier's relays listen. It differs from the address they connect from, so that no outgoing
    /// connection can take the port that a cut relay has to bind again.
    fn relays(&self, courier: usize) -> IpAddr {
        self.ip(2, courier)
    }

    fn endpoint(&self, number: usize) -> IpAddr {
        self.ip(3, number)
    }

    fn agent(&self, number: usize) -> IpAddr {
        self.ip(4, number)
    }
}

struct Links {
    endpoints: Vec<Relay>,
    list: Relay,
    clients: Relay,
}

impl Links {
    fn of(&self, link: Link) -> &[Relay] {
        match link {
            Link::Endpoints => &self.endpoints,
            Link::List => std::slice::from_ref(&self.list),
            Link::Clients => std::slice::from_ref(&self.clients),
        }
    }

    fn set(&self, link: Link, fault: LinkFault) {
        self.of(link).iter().for_each(|relay| relay.set(fault));
    }
}

struct Testbed {
    day: Day,
    record: Arc<Record>,
    endpoints: Vec<Endpoint>,
    list: List,
    links: Vec<Links>,
    couriers: Vec<tokio::sync::Mutex<Courier>>,
    defect: Option<Defect>,
    _notes: Vec<Datagrams>,
    _net: Net,
}

/// A simulated defect of the couriers; tests use it to show that the judge detects such defects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Its folder is empty at each start.
    EmptiesFolder,
    /// The end of the journal is missing at each start, as if the courier answered before it wrote.
    AnswersBeforeWriting,
    /// Once-only mails are sent twice.
    RepeatsOnceOnly,
}

/// Options of a run besides the day and its seed.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Folder for the couriers' logs if a rule is broken.
    pub logs: Option<PathBuf>,
    pub defect: Option<Defect>,
}

/// Runs a day with a seed and judges it.
///
/// # Errors
/// If the day cannot be run at all: no ports, no folders, no binary, or couriers that never become ready.
pub async fn run(day: &Day, seed: u64, binary: &Path) -> Result<Verdict, String> {
    run_with(day, seed, binary, &Options::default()).await
}

/// Like `run`, with options.
///
/// # Errors
/// As for `run`.
pub async fn run_with(day: &Day, seed: u64, binary: &Path, options: &Options) -> Result<Verdict, String> {
    let schedule = Schedule::draw(day, seed);
    let testbed = Testbed::build(day, seed, binary, options.defect)
        .await
        .map_err(|e| format!("the day cannot be set up: {e}"))?;
    let testbed = Arc::new(testbed);
    testbed.start_all().await?;
    let mut watched = JoinSet::new();
    watched.spawn(testbed.clone().watch_couriers());
    if options.defect == Some(Defect::RepeatsOnceOnly) {
        watched.spawn(testbed.clone().repeat_once_only_calls(schedule.mails.clone()));
    }
    for links in &testbed.links {
        for _ in 0..day.mails.idle {
            watched.spawn(client::stay_idle(links.clients.address));
        }
        for _ in 0..day.mails.crowd {
            watched.spawn(crowd::run(links.clients.address, day.mails.crowd_habit));
        }
    }

    let (start, base) = (Instant::now(), testbed.record.now());
    let mut clients = JoinSet::new();
    for (courier, links) in testbed.links.iter().enumerate() {
        for client in 0..day.mails.clients {
            let numbered = schedule.mails.iter().enumerate();
            let own = numbered.filter(|(_, mail)| (mail.courier, mail.client) == (courier, client));
            let own = own.map(|(number, mail)| (number as u32, mail.clone())).collect();
            let (body, record) = (vec![b'x'; day.mails.body], testbed.record.clone());
            let pool = Pool::new(links.clients.address, day.mails.spare);
            let habits = Habits::new(&day.mails, seed ^ (courier * day.mails.clients + client) as u64);
            clients.spawn(client::hand_in(pool, own, body, start, (record, habits)));
        }
    }
    let mut troubles = JoinSet::new();
    for drawn in schedule.troubles.clone() {
        troubles.spawn(testbed.clone().apply_trouble(drawn, start));
    }
    while clients.join_next().await.is_some() {}
    while troubles.join_next().await.is_some() {}
    let settle = Instant::now() + Duration::from_secs_f64(day.settle_s);
    while count_open(&testbed.record) > 0 && Instant::now() < settle {
        sleep(POLL).await;
    }
    watched.shutdown().await;
    let left = testbed.end().await;
    let verdict = testbed.record.read(|events| judge(day, &schedule.mails, base, events, &left));
    if let Some(logs) = options.logs.as_ref().filter(|_| !verdict.kept()) {
        testbed.keep_logs(logs, &verdict).await.map_err(|e| format!("{}: {e}", logs.display()))?;
    }
    Ok(verdict)
}

impl Testbed {
    async fn build(day: &Day, seed: u64, binary: &Path, defect: Option<Defect>) -> io::Result<Testbed> {
        let net = Net::claim()?;
        let record = Arc::new(Record::new(std::time::Instant::now()));
        let by_address: HashMap<IpAddr, usize> = (0..day.couriers).map(|i| (net.courier(i), i)).collect();
        let by_address = Arc::new(by_address);
        let (mut endpoints, mut entries) = (Vec::new(), Vec::new());
        let numbers = Arc::new(IdCounter::default());
        for number in 0..day.endpoints.destinations * day.endpoints.each {
            let (record, couriers) = (record.clone(), by_address.clone());
            let (at, seed) = (net.endpoint(number), seed ^ number as u64);
            let numbers = numbers.clone();
            let endpoint = Endpoint::start(number, at, &day.endpoints, record, numbers, couriers, seed);
            endpoints.push(endpoint.await?);
            entries.push(Entry {
                name: format!("e{number}"),
                endpoint: number,
                destination: number % day.endpoints.destinations,
                drains: false,
                gone: false,
                rate: day.endpoints.rate,
                since_ms: 0,
                changed: 1,
            });
        }
        let addresses = Addresses { endpoints: Mutex::default(), couriers: by_address };
        let addresses = Arc::new(addresses);
        let at: Vec<IpAddr> = (0..day.list.agents).map(|agent| net.agent(agent)).collect();
        let list = List::start(&at, entries, day.list.most_asks, addresses.clone(), record.clone()).await?;
        let mut links = Vec::new();
        for courier in 0..day.couriers {
            let (near, own) = (net.relays(courier), net.courier(courier));
            let seed = seed ^ (courier as u64) << 16;
            let mut to_endpoints = Vec::new();
            for endpoint in &endpoints {
                to_endpoints.push(Relay::start(near, own, endpoint.address, seed).await?);
            }
            let agent = list.at[courier % list.at.len()];
            let to_list = Relay::start(near, own, agent, seed ^ 1).await?;
            let clients = Relay::start(near, near, (own, CLIENT_PORT).into(), seed ^ 2).await?;
            let places = to_endpoints.iter().map(|relay| relay.address).collect();
            crate::record::lock(&addresses.endpoints).push(places);
            links.push(Links { endpoints: to_endpoints, list: to_list, clients });
        }
        let (peers, notes) = notes(day, &net, seed).await?;
        let mut couriers = Vec::new();
        for (courier, links) in links.iter().enumerate() {
            let listen = SocketAddr::from((net.courier(courier), CLIENT_PORT));
            let mut config = json!({"name": format!("n{courier}"), "listen": listen.to_string(),
                "discovery": links.list.address.to_string(), "seed": format!("{:x}", seed ^ courier as u64),
                "limits": {"sockets": day.courier.sockets, "memory_mb": day.courier.memory_mb,
                    "disk_mb": day.courier.disk_mb},
                "known": list.known(&addresses, courier), "settings": settings(day)});
            if let Some(others) = peers.get(courier) {
                let listen = SocketAddr::from((net.courier(courier), NOTE_PORT));
                config["peers"] = json!({"listen": listen.to_string(), "others": others});
            }
            let mut courier = Courier::new(binary, listen, &config)?;
            courier.clock_step_s = day.courier.clock_step_s;
            couriers.push(tokio::sync::Mutex::new(courier));
        }
        Ok(Testbed {
            day: day.clone(),
            record,
            endpoints,
            list,
            links,
            couriers,
            defect,
            _notes: notes,
            _net: net,
        })
    }

    fn record_process(&self, courier: usize, what: Process) {
        self.record.add(Observation::Process { courier, what });
    }

    /// Starts a courier and waits until it is ready.
    async fn start(&self, number: usize, courier: &mut Courier) -> Result<(), String> {
        self.spawn(number, courier)?;
        self.wait_until_ready(number, courier).await
    }

    fn spawn(&self, number: usize, courier: &mut Courier) -> Result<(), String> {
        match self.defect {
            Some(Defect::EmptiesFolder) => courier.delete_state(),
            Some(Defect::AnswersBeforeWriting) => courier.truncate_journal(),
            Some(Defect::RepeatsOnceOnly) | None => {}
        }
        courier.start().map_err(|e| format!("the courier's program cannot be started: {e}"))?;
        self.record_process(number, Process::Started);
        Ok(())
    }

    async fn wait_until_ready(&self, number: usize, courier: &mut Courier) -> Result<(), String> {
        let end = Instant::now() + Duration::from_millis(self.day.rules.ready_ms * 2);
        while !client::is_ready(courier.listen).await {
            if courier.has_crashed() || Instant::now() > end {
                self.record_process(number, Process::Crashed);
                return Err(format!("courier {number} did not become ready:\n{}", courier.log()));
            }
            sleep(POLL).await;
        }
        self.record_process(number, Process::Ready);
        Ok(())
    }

    async fn start_all(self: &Arc<Self>) -> Result<(), String> {
        let mut starts = JoinSet::new();
        for number in 0..self.couriers.len() {
            let testbed = self.clone();
            starts.spawn(async move {
                let mut courier = testbed.couriers[number].lock().await;
                testbed.start(number, &mut courier).await
            });
        }
        while let Some(started) = starts.join_next().await {
            started.map_err(|e| e.to_string())??;
        }
        Ok(())
    }

    /// Records couriers that end unexpectedly as crashed. Couriers that are ended on purpose are locked meanwhile and
    /// are skipped.
    async fn watch_couriers(self: Arc<Self>) {
        let mut crashed = vec![false; self.couriers.len()];
        loop {
            for (number, courier) in self.couriers.iter().enumerate() {
                let Ok(mut courier) = courier.try_lock() else { continue };
                if courier.has_crashed() && !std::mem::replace(&mut crashed[number], true) {
                    self.record_process(number, Process::Crashed);
                }
            }
            sleep(POLL).await;
        }
    }

    async fn kill(&self, number: usize, courier: &mut Courier) {
        courier.signal(Signal::KILL);
        courier.wait_for_end().await;
        self.record_process(number, Process::Ended);
    }

    /// Applies a trouble to one courier's process; the courier is locked until the trouble is over.
    async fn apply_process_trouble(self: Arc<Self>, drawn: DrawnTrouble, number: usize) {
        let lasts = Duration::from_micros(drawn.until - drawn.at);
        let mut courier = self.couriers[number].lock().await;
        match drawn.what {
            What::Kill | What::FolderLost => {
                self.kill(number, &mut courier).await;
                if drawn.what == What::FolderLost {
                    courier.delete_state();
                    self.record_process(number, Process::FolderLost);
                }
                sleep(lasts).await;
            }
            What::KillInStart => {
                self.kill(number, &mut courier).await;
                for cut in drawn.cuts {
                    if courier.start().is_ok() {
                        self.record_process(number, Process::Started);
                        sleep(Duration::from_millis(cut)).await;
                        self.kill(number, &mut courier).await;
                    }
                }
            }
            What::Term => {
                courier.signal(Signal::TERM);
                self.record_process(number, Process::TermSent);
                if timeout(TERM_GRACE, courier.wait_for_end()).await.is_err() {
                    courier.signal(Signal::KILL);
                    courier.wait_for_end().await;
                }
                self.record_process(number, Process::Ended);
                sleep(RESTART_DELAY).await;
            }
            What::Signals => return self.signal_in_series(&drawn, number, &mut courier).await,
            What::DiskFails => {
                courier.limit_writes(Some(drawn.index as u64 % PARTIAL_RECORD_BYTES));
                sleep(lasts).await;
                return courier.limit_writes(None);
            }
            What::Stop => {
                courier.signal(Signal::STOP);
                self.record_process(number, Process::Stopped);
                sleep(lasts).await;
                courier.signal(Signal::CONT);
                return self.record_process(number, Process::Continued);
            }
            _ => return,
        }
        // A courier that does not become ready has been recorded as crashed.
        let _ = self.start(number, &mut courier).await;
    }

    async fn signal_in_series(&self, drawn: &DrawnTrouble, number: usize, courier: &mut Courier) {
        if drawn.behind_taken {
            let _ = timeout(NEXT_TAKEN_TIMEOUT, self.next_taken(number)).await;
        }
        let mut left = drawn.signals.iter().copied();
        loop {
            let ended = self.signal_process(&mut left, number, courier).await;
            if ended {
                sleep(RESTART_DELAY).await;
            }
            if ended && self.spawn(number, courier).is_err() {
                return;
            }
            if left.len() == 0 {
                // A courier that does not become ready has been recorded as crashed.
                let _ = self.wait_until_ready(number, courier).await;
                return;
            }
        }
    }

    /// Sends one process the signals that are meant for it, and waits for its end if they end it. Returns whether it
    /// has ended.
    async fn signal_process(
        &self,
        left: &mut impl Iterator<Item = (Sent, u64)>,
        number: usize,
        courier: &mut Courier,
    ) -> bool {
        let mut kill_at = None;
        loop {
            let next = left.next();
            let until = match next {
                Some((Sent::Restart, _)) | None if kill_at.is_none() => return false,
                Some((Sent::Restart, _)) | None => kill_at,
                Some((_, gap)) => Some(Instant::now() + Duration::from_millis(gap)),
            };
            let until = until.into_iter().chain(kill_at).min().unwrap_or_else(Instant::now);
            if timeout(until.saturating_duration_since(Instant::now()), courier.wait_for_end()).await.is_ok()
            {
                // Without SIGTERM, only SIGHUP has been sent, which must not end the process.
                self.record_process(
                    number,
                    if kill_at.is_some() { Process::Ended } else { Process::Crashed },
                );
                return true;
            }
            match next {
                Some((Sent::Hup, _)) if Some(until) != kill_at => courier.signal(Signal::HUP),
                Some((Sent::Term, _)) if Some(until) != kill_at => {
                    courier.signal(Signal::TERM);
                    if kill_at.is_none() {
                        self.record_process(number, Process::TermSent);
                    }
                    kill_at.get_or_insert(Instant::now() + TERM_GRACE);
                }
                _ => {
                    self.kill(number, courier).await;
                    return true;
                }
            }
        }
    }

    /// Waits until the courier has answered that it takes a mail.
    async fn next_taken(&self, number: usize) {
        let known = self.record.read(<[_]>::len);
        let is_taken = |seen: &Observation| matches!(seen, Observation::Answered { courier, answer: ClientAnswer::Taken, .. } if *courier == number);
        while !self.record.read(|events| events[known..].iter().any(|event| is_taken(&event.observation))) {
            sleep(TAKEN_POLL).await;
        }
    }

    /// Repeats each relayed call with a once-only mail, as a defective courier would.
    async fn repeat_once_only_calls(self: Arc<Self>, mails: Vec<Mail>) {
        let mut known = 0;
        loop {
            let calls: Vec<(usize, HandIn)> = self.record.read(|events| {
                let new = events[known..].iter().filter_map(|event| match &event.observation {
                    Observation::Called { endpoint, hands, result: CallResult::Relayed, .. } => {
                        Some((*endpoint, hands[0]))
                    }
                    _ => None,
                });
                let new = new.collect();
                known = events.len();
                new
            });
            for (endpoint, hand) in calls {
                if mails[hand.mail as usize].class == Class::Once {
                    let _ = client::call(self._net.courier(0), self.endpoints[endpoint].address, hand).await;
                }
            }
            sleep(POLL).await;
        }
    }

    /// Writes the verdict and the logs of all couriers to a folder.
    async fn keep_logs(&self, folder: &Path, verdict: &Verdict) -> io::Result<()> {
        std::fs::create_dir_all(folder)?;
        std::fs::write(folder.join("verdict"), verdict.to_string())?;
        for (number, courier) in self.couriers.iter().enumerate() {
            std::fs::write(folder.join(format!("courier-{number}.log")), courier.lock().await.log())?;
        }
        Ok(())
    }

    async fn apply_trouble(self: Arc<Self>, drawn: DrawnTrouble, start: Instant) {
        let until = start + Duration::from_micros(drawn.until);
        sleep_until(start + Duration::from_micros(drawn.at)).await;
        if drawn.what.is_process() {
            let mut each = JoinSet::new();
            for &number in &drawn.which {
                each.spawn(self.clone().apply_process_trouble(drawn.clone(), number));
            }
            while each.join_next().await.is_some() {}
            return;
        }
        self.set_trouble(&drawn, true);
        sleep_until(until).await;
        self.set_trouble(&drawn, false);
    }

    /// Applies or removes a trouble of endpoints, agents or links.
    fn set_trouble(&self, drawn: &DrawnTrouble, on: bool) {
        let trouble = &self.day.trouble[drawn.index];
        for &number in &drawn.which {
            match drawn.what {
                what if what.is_list() => self.set_agent_trouble(what, number, on),
                what if what.is_endpoint() => self.set_endpoint_trouble(what, trouble, number, on),
                What::Answers => self.spoil_answers(trouble, number, on),
                what => {
                    let fault = if on { link_fault(what, trouble) } else { LinkFault::None };
                    let seen = Observation::LinksChanged { courier: number, link: trouble.link, faulty: on };
                    // The recorded interval must enclose the fault: record its start before it is applied, and its end
                    // after it is removed.
                    if on {
                        self.record.add(seen);
                        self.links[number].set(trouble.link, fault);
                    } else {
                        self.links[number].set(trouble.link, fault);
                        self.record.add(seen);
                    }
                }
            }
        }
    }

    fn spoil_answers(&self, trouble: &Trouble, courier: usize, on: bool) {
        let spoilt = SpoiltAnswers { fault: trouble.answer, share: trouble.chance };
        if on {
            self.record.add(Observation::AnswersSpoilt { courier, link: trouble.link });
        }
        for relay in self.links[courier].of(trouble.link) {
            relay.spoil_answers(on.then_some(spoilt));
        }
    }

    fn set_agent_trouble(&self, what: What, agent: usize, on: bool) {
        let mode = |mode| if on { mode } else { ListMode::Normal };
        match what {
            What::List503 => self.list.set_mode(agent, mode(ListMode::Refuses)),
            What::ListSilent => self.list.set_mode(agent, mode(ListMode::Silent)),
            What::ListStale => self.list.set_stale(agent, on),
            _ => self.list.set_indented(agent, on),
        }
    }

    fn set_endpoint_trouble(&self, what: What, trouble: &Trouble, number: usize, on: bool) {
        let endpoint = &self.endpoints[number];
        let mode = |mode| endpoint.set_mode(if on { mode } else { Mode::Normal });
        match what {
            What::Drain => self.list.change(number, |entry| entry.drains = on),
            What::Busy => mode(Mode::Busy),
            What::Errors => mode(Mode::Errors(trouble.chance)),
            What::Limit => mode(Mode::Limit(trouble.delay_ms)),
            What::Hang => mode(Mode::Hangs),
            What::Replace => {
                endpoint.set_up(!on);
                if on {
                    self.list.change(number, |entry| entry.gone = true);
                } else {
                    self.list.replace(number, unix_ms());
                }
            }
            _ => {
                endpoint.set_up(!on);
                if !on {
                    let since_ms = unix_ms();
                    self.list.change(number, |entry| entry.since_ms = since_ms);
                }
            }
        }
    }

    /// Ends all couriers with SIGTERM and reads their journals and logs.
    async fn end(self: &Arc<Self>) -> FinalState {
        let mut left = FinalState { at: self.record.now(), ..FinalState::default() };
        let mut ends = JoinSet::new();
        for number in 0..self.couriers.len() {
            let testbed = self.clone();
            ends.spawn(async move {
                let mut courier = testbed.couriers[number].lock().await;
                let mut faults = Vec::new();
                courier.signal(Signal::TERM);
                if timeout(TERM_GRACE * 2, courier.wait_for_end()).await.is_err() {
                    faults.push("does not end when it is asked to".to_string());
                    testbed.kill(number, &mut courier).await;
                }
                faults.extend(faults_in(&courier.log()));
                let owed = courier.owed().await.unwrap_or_else(|e| {
                    faults.push(e);
                    Vec::new()
                });
                (number, owed, faults)
            });
        }
        while let Some(ended) = ends.join_next().await {
            let Ok((number, owed, faults)) = ended else { continue };
            left.owed.extend(owed.iter().filter_map(|id| HandIn::read(id)));
            left.faults.extend(faults.into_iter().map(|fault| (number, fault)));
        }
        left
    }
}

/// Number of mails that were taken and have not ended yet, without those lost with a deleted folder.
pub(crate) fn count_open(record: &Record) -> usize {
    record.read(|events| {
        let (mut open, mut served) = (HashSet::new(), HashMap::new());
        let mut ended = HashSet::new();
        for event in events {
            match &event.observation {
                Observation::Answered { hand, courier, answer: ClientAnswer::Taken } => {
                    open.insert((*hand, *courier));
                }
                Observation::Process { courier, what: Process::FolderLost } => {
                    open.retain(|one| one.1 != *courier)
                }
                Observation::Notice { hand, .. } | Observation::Withdrawn { hand } => {
                    ended.insert(*hand);
                }
                Observation::Called { call, hands, result: CallResult::Relayed, .. } => {
                    served.insert(*call, hands);
                }
                Observation::Replied { call } => {
                    ended.extend(served.get(call).into_iter().flat_map(|hands| hands.iter().copied()));
                }
                _ => {}
            }
        }
        open.iter().filter(|(hand, _)| !ended.contains(hand)).count()
    })
}

/// For each courier the addresses that represent the others, and the datagram relays behind them; both are empty if
/// the day uses no notes.
async fn notes(day: &Day, net: &Net, seed: u64) -> io::Result<(Vec<Vec<String>>, Vec<Datagrams>)> {
    if !day.notes.told {
        return Ok((Vec::new(), Vec::new()));
    }
    let n = &day.notes;
    let late_by = Duration::from_millis(n.late_ms);
    let faults = DatagramFaults { lost: n.lost, doubled: n.doubled, late: n.late, late_by };
    let (mut peers, mut relays) = (vec![Vec::new(); day.couriers], Vec::new());
    for a in 0..day.couriers {
        for b in a + 1..day.couriers {
            let at_a = tokio::net::UdpSocket::bind((net.relays(a), 0)).await?;
            let at_b = tokio::net::UdpSocket::bind((net.relays(b), 0)).await?;
            peers[a].push(at_a.local_addr()?.to_string());
            peers[b].push(at_b.local_addr()?.to_string());
            let ends = [a, b].map(|courier| SocketAddr::from((net.courier(courier), NOTE_PORT)));
            let seed = seed ^ (a as u64) << 24 ^ (b as u64) << 32;
            relays.push(Datagrams::start(ends, [at_a, at_b], faults, seed));
        }
    }
    Ok((peers, relays))
}

/// The link fault that a trouble injects.
fn link_fault(what: What, trouble: &Trouble) -> LinkFault {
    match what {
        What::Cut => LinkFault::Cut,
        What::CutRequests => LinkFault::Held(Way::Request),
        What::CutAnswers => LinkFault::Held(Way::Answer),
        What::Silent => LinkFault::Silent,
        What::Slow => LinkFault::Slow(Duration::from_millis(trouble.delay_ms)),
        What::ResetRequests => LinkFault::Reset(Way::Request, trouble.chance),
        What::ResetAnswers => LinkFault::Reset(Way::Answer, trouble.chance),
        _ => LinkFault::None,
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The settings of a day's couriers, in the platform's form.
pub(crate) fn settings(day: &Day) -> Value {
    let us = |seconds: f64| (seconds * 1e6) as u64;
    let window = us(day.rules.window_s);
    let lifetime = day.mails.time_ms[1] * 1000;
    let class = |name: &str, effect: &str, in_turn: bool| {
        json!({"Name": name, "Effect": effect, "Group": "all", "DedupWindowUs": window, "InTurn": in_turn,
            "PromiseUs": 200_000, "HardLimitUs": lifetime, "Worth": 1.0, "LateWorth": 0.0})
    };
    let (e, c, rules) = (&day.endpoints, &day.courier, &day.rules);
    json!({
        "NInstances": day.couriers,
        "FamilyInfo": {"Slots": c.slots, "KindBatch": [e.batch], "OwnLimits": [true]},
        "Limits": {"MaxOpen": c.room, "MaxAttempts": 4, "ConnectTimeoutUs": c.connect_ms * 1000,
            "KeepaliveUs": 5_000_000, "MayTell": day.notes.told},
        "ResolutionUs": 1000, "MembershipMode": "push", "Kinds": ["hook"], "Dcs": ["a"], "Weights": "nominal",
        "Rules": {"TurnGapUs": 600_000, "OverloadForUs": us(rules.tip_s), "TipMultiple": rules.tip_multiple,
            "ColdFrom": e.cold_from, "ColdUs": us(e.cold_s)},
        "Profiles": [class("again", "read_like", false), class("tagged", "idempotency_key", false),
            class("once", "non_idempotent", false), class("turns", "read_like", true)],
    })
}

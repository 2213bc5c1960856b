//! The exchange: where clients and endpoints meet. It owns the decisions, the doors, the mails in hand, the
//! journal and the timer; it carries out what the module says and tells it what was seen.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, SocketAddrV4, SocketAddrV6};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use meadowhold::control::Control;
use meadowhold::interface::{
    AcceptedMail, Action, ConnectResult, Effect, EndpointStatus, Input, Kind, LimitReport, ListEntry,
    Outcome, PeerNote, Settings, Shutdown, Time, SECOND,
};
use meadowhold::interner::Interner;
use meadowhold_settings::{name, Decoded};
use meadowhold_start::backlog::{self, Backlog};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;

use crate::audit::{self, Books, Flight, Tally};
use crate::discovery::{List, Listener};
use crate::entries::Update;
use crate::journal::{held_as, weight, Found, Journal, Owed, Record, Sent, Terms, Verdict, NO_ZONE};
use crate::memory::{deployment, ListStore};
use crate::numbers::Classes;
use crate::{http, must};

/// What an earlier process took on is offered to the module within this time: all with the first turn. Spread over
/// 250 ms it lost importance after a mass restart, see `docs/start.md`.
const SUBMITTED_WITHIN: Time = 0;
/// Whether it is offered by importance and end; else as it was taken. Off: it lost on the bench, see `docs/start.md`.
const BY_IMPORTANCE: bool = false;

/// The log's target for `list VERSION is in force`, at `trace`, so that it is on only where it is asked for.
pub const IN_FORCE: &str = "in_force";
/// Room that is kept for the inputs of a turn.
const MAX_KEPT_INPUTS: usize = 16 << 10;

pub type Shared = Rc<RefCell<Exchange>>;

/// The module's clock: the system's at the start of the process, monotonic from then on.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    base: Time,
    still: bool,
}

impl Clock {
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), base: to_time(unix), still: false }
    }

    /// A clock that stands still at this time, for tests that play their own.
    pub fn still(at: Time) -> Clock {
        Clock { start: Instant::now(), base: at, still: true }
    }

    pub fn now(&self) -> Time {
        self.base + if self.still { 0 } else { to_time(self.start.elapsed()) }
    }

    pub fn instant(&self, at: Time) -> Instant {
        self.start + duration(at.saturating_sub(self.base))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}

pub fn to_time(duration: Duration) -> Time {
    (duration.as_micros() / 100) as Time
}

pub fn duration(time: Time) -> Duration {
    Duration::from_micros(time.saturating_mul(100))
}

/// A mail that a client hands in.
pub struct Offer {
    pub id: Bytes,
    pub key: Bytes,
    pub order_key: Bytes,
    pub class: Bytes,
    pub destination: u64,
    pub lifetime: Duration,
    pub body: Bytes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// From now on its end is owed; the number is for a client that is gone before it hears so.
    Taken(u64),
    /// Taken before, and not over.
    Known,
    Busy,
    Failed(&'static str),
}

/// A mail of a call.
#[derive(Clone, Debug)]
pub struct CallMail {
    pub serial: u64,
    pub id: Bytes,
    pub key: Bytes,
    pub body: Bytes,
    /// When its connect is given up, by the module's word.
    pub until: Time,
    pub due: Time,
    /// Only before this may the last byte of its call go out: a repeat is not known as one from then on.
    pub latest: Time,
}

/// One call to one endpoint.
#[derive(Debug)]
pub struct Call {
    pub endpoint: usize,
    /// The module's slot that it takes. One that is cut by its size takes one slot for all its parts.
    pub slot: usize,
    /// Where it was when the call was decided on: a number that is never given twice.
    pub incarnation: u64,
    pub address: Option<SocketAddr>,
    /// It must not go out on a connection that was kept.
    pub new_connection: bool,
    pub mails: Vec<CallMail>,
    /// Bytes of its body where it carries several mails; a call holds no more than a body may.
    pub size: usize,
}

/// What the component that calls endpoints is to do.
#[derive(Debug)]
pub enum Order {
    Call(Call),
    /// Close the idle connections to this place.
    CloseIdle(u64),
    /// From here on connections are made within the one time, and kept idle for the other.
    SetTimeouts {
        connect_timeout: Duration,
        idle_timeout: Duration,
    },
}

/// What is to be told to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    pub serial: u64,
    pub id: Bytes,
    pub verdict: Verdict,
}

/// What was seen of one mail's connect.
#[derive(Clone, Debug)]
pub struct ConnectReport {
    pub outcome: Outcome,
    pub over: bool,
    pub wait: Duration,
    pub load: Option<String>,
    /// The call went out on a connection that was kept.
    pub kept: bool,
}

impl ConnectReport {
    /// Where nothing but the outcome is known.
    pub fn of(outcome: Outcome) -> ConnectReport {
        ConnectReport {
            outcome,
            over: outcome == Outcome::Relayed,
            wait: Duration::ZERO,
            load: None,
            kept: false,
        }
    }
}

/// An address in half the room that the system's form takes: there is one for each entry of the list.
#[derive(PartialEq, Eq)]
enum Address {
    Unreadable,
    V4(SocketAddrV4),
    V6(Box<SocketAddrV6>),
}

impl Address {
    fn read(text: &str) -> Address {
        match text.parse() {
            Ok(SocketAddr::V4(address)) => Address::V4(address),
            Ok(SocketAddr::V6(address)) => Address::V6(Box::new(address)),
            Err(_) => Address::Unreadable,
        }
    }

    fn get(&self) -> Option<SocketAddr> {
        match self {
            Address::V4(address) => Some(SocketAddr::V4(*address)),
            Address::V6(address) => Some(SocketAddr::V6(**address)),
            Address::Unreadable => None,
        }
    }
}

struct EndpointState {
    /// Given anew when its address or process changes; 0: it is no more.
    incarnation: u64,
    address: Address,
    since: u64,
    /// As sends to it are put on file.
    zone: u16,
    kind: u32,
    group: u64,
    /// It was told of as ready last, whether the module has read so or not.
    ready: bool,
}

/// Figures since the start, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub taken: u64,
    pub busy: u64,
    pub failed: u64,
    pub calls: u64,
    pub relayed: u64,
    pub given_up: u64,
    pub late: u64,
    pub hangups: u64,
    pub compactions: u64,
    /// Lists, or changes, of a lower version than what came before.
    pub older: u64,
    /// Notes to and from other couriers.
    pub told: u64,
    pub heard: u64,
    /// What must hold and did not.
    pub broken: u64,
}

pub struct Exchange {
    control: Control,
    pub clock: Clock,
    names: Names,
    max_open: usize,
    batch_limits: Vec<usize>,
    /// Kinds whose endpoints are limited each on its own.
    limited_alone: Vec<bool>,
    /// The module's classes: those of the settings, and what stands for such as an earlier process or version left.
    classes: Classes,
    turn_gap: Time,
    resolution: Time,
    mail_serials: Interner<u64>,
    endpoint_names: Interner<Box<[u8]>>,
    destinations: Interner<u64>,
    order_keys: Interner<Bytes>,
    /// Endpoints by index.
    endpoints: Vec<EndpointState>,
    /// Connects that have no outcome yet, by the index of their mail.
    connects_out: Vec<Option<Flight>>,
    /// What is to be left alone by what the module has not read yet.
    paused_units: Vec<audit::Unit>,
    owed: BTreeMap<u64, Owed>,
    ids: HashMap<Bytes, u64>,
    rests: Vec<(Bytes, Time)>,
    /// What an earlier process took on, until it goes to the module.
    backlog: Backlog,
    open: usize,
    next_serial: u64,
    next_incarnation: u64,
    journal: Journal,
    keeper: ListStore,
    journal_failed: bool,
    inputs: Vec<Input>,
    actions: Vec<Action>,
    wake: Option<Time>,
    turns: u64,
    last_turn: Time,
    stopped: bool,
    /// The agent was not asked yet: no turns, so that no call begins.
    turns_held: bool,
    notify: Rc<Notify>,
    orders: UnboundedSender<Order>,
    notices: UnboundedSender<Notice>,
    /// What goes to the other couriers, where there are any.
    news: Option<UnboundedSender<(Bytes, PeerNote)>>,
    /// Version of the list that was taken up last, and the last by which a turn was taken.
    index: u64,
    in_force: u64,
    /// What the audit counts beside the books.
    tally: Tally,
    pub counts: Counts,
    /// Which version of the settings is in force, and what came of others.
    pub versions: Versions,
}

/// What a courier states of versions of its settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// The number of the one in force, and since when.
    pub in_force: Option<(u64, Time)>,
    /// In words, the last one that was turned down since then, with every fault.
    pub rejected: Option<String>,
}

impl Versions {
    /// `None` where there are none.
    pub fn summary(&self, now: Time) -> Option<String> {
        let (number, since) = self.in_force?;
        let age = now.saturating_sub(since) / SECOND;
        let down = self.rejected.as_ref().map(|words| format!("; {words}")).unwrap_or_default();
        Some(format!("settings version {number} are in force for {age} s{down}"))
    }
}

/// What names on the sockets stand for.
struct Names {
    /// Those of the settings, and then those that only a list or a later version has named.
    zones: Vec<String>,
    /// So many of them have a number that the journal knows.
    on_file: usize,
    /// Those of all versions so far, by number.
    kinds: Vec<String>,
    /// The number of a kind that is none of them.
    other: usize,
    report: [Option<usize>; 2],
    fields: Vec<String>,
}

impl Names {
    /// The module's number of a zone. Guards against two zones, neither of which the settings name, that would
    /// be held to be one: a key that is known in one of them is not known in the other.
    fn zone(&mut self, text: &str) -> usize {
        let zone = name(text);
        let at = self.zones.iter().position(|known| *known == zone).unwrap_or(self.zones.len());
        if at == self.zones.len() && at < usize::from(NO_ZONE) {
            self.zones.push(zone);
        }
        at.min(usize::from(NO_ZONE))
    }

    /// What a load report says of the limit.
    fn report(&self, load: &str) -> Option<LimitReport> {
        let value = |place: Option<usize>| -> Option<f64> {
            let value: f64 = http::pair_value(load, self.fields.get(place?)?)?.parse().ok()?;
            value.is_finite().then_some(value)
        };
        Some(LimitReport { remaining: value(self.report[0])?, limit: value(self.report[1])? })
    }
}

impl Exchange {
    pub fn new(
        decoded: Decoded,
        (journal, found): (Journal, Found),
        orders: UnboundedSender<Order>,
        notices: UnboundedSender<Notice>,
        news: Option<UnboundedSender<(Bytes, PeerNote)>>,
    ) -> Exchange {
        Exchange::with_clock(Clock::new(), decoded, (journal, found), orders, notices, news)
    }

    /// The same, by a clock that a test may hold.
    pub fn with_clock(
        clock: Clock,
        decoded: Decoded,
        (journal, mut found): (Journal, Found),
        orders: UnboundedSender<Order>,
        notices: UnboundedSender<Notice>,
        news: Option<UnboundedSender<(Bytes, PeerNote)>>,
    ) -> Exchange {
        let deployment = deployment(&decoded);
        let Decoded { mut settings, report, fields, classes, zones, mut kinds, .. } = decoded;
        let current: Vec<Terms> =
            classes.iter().zip(&settings.classes).map(|(name, class)| Terms::new(name, class)).collect();
        let mut terms = current.clone();
        for owed in found.owed.values_mut() {
            owed.class = held_as(owed, &current, &mut settings.classes);
            let more = settings.classes.iter().skip(terms.len());
            let more = more.map(|class| Terms { class: owed.terms.class.clone(), ..Terms::new("", class) });
            terms.extend(more.collect::<Vec<_>>());
        }
        let by_name = classes.into_iter().enumerate().map(|(i, class)| (Bytes::from(class), i)).collect();
        // The module has one kind at least.
        kinds.resize(settings.kinds.len(), String::new());
        let (folder, allowance) = journal.place();
        let mut exchange = Exchange {
            keeper: ListStore::new(folder, allowance, deployment),
            names: Names { zones, on_file: 0, other: kinds.len() - 1, kinds, report, fields },
            max_open: settings.max_mails,
            batch_limits: settings.kinds.iter().map(|kind| kind.max_batch).collect(),
            limited_alone: settings.kinds.iter().map(|kind| kind.per_endpoint_limits).collect(),
            classes: Classes { classes: settings.classes.clone(), terms, by_name },
            turn_gap: settings.ordering_gap,
            resolution: settings.timer_resolution,
            control: Control::new(settings),
            clock,
            mail_serials: Interner::default(),
            endpoint_names: Interner::default(),
            destinations: Interner::default(),
            order_keys: Interner::default(),
            endpoints: Vec::new(),
            connects_out: Vec::new(),
            paused_units: Vec::new(),
            owed: BTreeMap::new(),
            ids: HashMap::new(),
            rests: Vec::new(),
            backlog: Backlog::default(),
            open: 0,
            next_serial: found.owed.keys().next_back().map_or(1, |last| last + 1),
            next_incarnation: 1,
            journal,
            journal_failed: false,
            inputs: Vec::new(),
            actions: Vec::new(),
            wake: None,
            turns: 0,
            last_turn: 0,
            stopped: false,
            turns_held: false,
            notify: Rc::default(),
            orders,
            notices,
            news,
            index: 0,
            in_force: 0,
            tally: Tally { found: found.owed.len() as u64, ..Tally::default() },
            counts: Counts::default(),
            versions: Versions::default(),
        };
        exchange.restore(found);
        exchange
    }

    /// What an earlier process took on comes back: as it was taken, or by importance, then by its end.
    fn restore(&mut self, mut found: Found) {
        let now = self.clock.now();
        // Guards against a repeat that goes where its key is not known, since zones were named or numbered otherwise.
        let zones = Bytes::from(self.names.zones.join(","));
        let known = found.zones == zones;
        if !known {
            found.owed.values_mut().for_each(Owed::forget_zones);
        }
        // What cannot be put on file is not used: sends are then to no zone that a later process knows.
        if known || self.append_record(&Record::Zones { names: &zones }) {
            self.names.on_file = self.names.zones.len();
        }
        let mut mails = Vec::with_capacity(found.owed.len());
        let mut keys: HashMap<Bytes, u64> = HashMap::new();
        self.rests = found.rests;
        for (serial, mut owed) in found.owed {
            // A connect that was out when the process ended may have run, and may be running.
            let out = owed.out.take();
            owed.ran = owed.ran.or(out);
            // Guards against a clock that was set back: how long ago that was cannot be known.
            owed.ran = owed.ran.map(|(at, zone)| (if at > now { 0 } else { at }, zone));
            if out.is_some() && !owed.item.is_empty() {
                self.rests.push((owed.item.clone(), now));
                self.append_record(&Record::Rest { item: &owed.item, since: now });
            }
            self.ids.insert(owed.id.clone(), serial);
            match owed.verdict {
                Some(verdict) => self.send_notice(Notice { serial, id: owed.id.clone(), verdict }),
                None if !BY_IMPORTANCE => {
                    self.open += 1;
                    self.submit(serial, &owed);
                }
                None => {
                    self.open += 1;
                    let next = keys.len() as u64;
                    let key = self.is_ordered(&owed).then(|| *keys.entry(owed.item.clone()).or_insert(next));
                    let importance = self.classes.classes[usize::from(owed.class)].importance;
                    mails.push(backlog::Mail { serial, importance, due: owed.due, key });
                }
            }
            self.owed.insert(serial, owed);
        }
        self.drop_elapsed_rests();
        for i in 0..self.rests.len() {
            let (item, since) = self.rests[i].clone();
            let key = self.order_keys.intern(item);
            self.inputs.push(Input::KeyInFlight { key, at: since });
        }
        self.backlog = Backlog::new(now, mails);
        self.notify.notify_one();
        if !self.owed.is_empty() {
            log::info!("{} mails of an earlier process are owed their end", self.owed.len());
        }
    }

    /// Whether a mail keeps its order among those of its key.
    fn is_ordered(&self, owed: &Owed) -> bool {
        !owed.item.is_empty() && self.classes.classes[usize::from(owed.class)].ordered
    }

    /// What an earlier process took on and is to be offered by now goes to the module.
    fn submit_backlog(&mut self, now: Time) {
        while let Some(serial) = self.backlog.next(now) {
            // One that turned out to be over meanwhile is owed nothing.
            if let Some(owed) = self.owed.remove(&serial) {
                self.submit(serial, &owed);
                self.owed.insert(serial, owed);
            }
        }
    }

    /// A mail goes to the module.
    fn submit(&mut self, serial: u64, owed: &Owed) {
        let class = usize::from(owed.class);
        let ordered = self.is_ordered(owed);
        let mail = self.mail_serials.intern(serial);
        self.inputs.push(Input::AcceptedMail(AcceptedMail {
            mail,
            destination: self.destinations.intern(owed.dest),
            class,
            key: ordered.then(|| self.order_keys.intern(owed.item.clone())),
            submitted_at: owed.since,
            deadline: owed.due,
            connects_used: owed.connects as usize,
            first_run: owed.ran.map(|(at, zone)| (at, usize::from(zone))),
        }));
        self.notify.notify_one();
    }

    pub fn hand_in(&mut self, offer: Offer) -> Answer {
        let Some(&class) = self.classes.by_name.get(&offer.class) else {
            self.counts.failed += 1;
            return Answer::Failed("ERR unknown class");
        };
        // One that no list has named is none, and would never be served.
        let Some(dest) = self.destinations.get(&offer.destination) else {
            self.counts.failed += 1;
            return Answer::Failed("ERR unknown destination");
        };
        // Guards against a client that sends again what it was not sure to have handed in.
        if self.ids.contains_key(&offer.id) {
            return Answer::Known;
        }
        let ordered = self.classes.classes[class].ordered && offer.order_key.iter().any(|&b| b != b'0');
        let owed = Owed {
            id: offer.id,
            key: offer.key,
            item: if ordered { offer.order_key } else { Bytes::new() },
            class: class as u16,
            terms: self.classes.terms[class].clone(),
            dest: offer.destination,
            since: self.clock.now(),
            due: self.clock.now() + to_time(offer.lifetime),
            body: offer.body,
            ..Owed::default()
        };
        let serial = self.next_serial;
        log::debug!("mail {serial} for {} of class {class} has come", owed.dest);
        if self.open >= self.max_open
            || self.control.would_reject(dest, class, owed.due)
            || !self.journal.has_room(&owed)
            || !self.append_record(&Record::Taken { serial, owed: &owed })
        {
            self.counts.busy += 1;
            return Answer::Busy;
        }
        self.next_serial += 1;
        self.counts.taken += 1;
        let (id, lifetime) = (String::from_utf8_lossy(&owed.id), owed.due - owed.since);
        log::debug!("message {id} taken on as {serial}, {} ms", lifetime / 10);
        self.ids.insert(owed.id.clone(), serial);
        // Guards against a mail that overtakes one of its key which an earlier process took on.
        let same = |old: u64| self.owed.get(&old).is_some_and(|old| old.item == owed.item);
        if self.is_ordered(&owed) && self.backlog.waiting().any(same) {
            self.submit_backlog(Time::MAX);
        }
        self.open += 1;
        self.submit(serial, &owed);
        self.owed.insert(serial, owed);
        Answer::Taken(serial)
    }

    /// What other settings would make of the numbers that are in use; nothing is changed.
    ///
    /// # Errors
    /// The place, and words, of what cannot be.
    pub fn plan_classes(&self, decoded: &Decoded) -> Result<Classes, (&'static str, &'static str)> {
        let used = self.owed.values().filter(|owed| owed.verdict.is_none());
        let used: BTreeSet<usize> = used.map(|owed| usize::from(owed.class)).collect();
        let classes = &decoded.settings.classes;
        let after = self.classes.next_version(&decoded.classes, classes, |class| used.contains(&class));
        after.map_err(|words| ("setting Profiles", words))
    }

    /// These settings are in force from here on, between two turns; `classes` as `plan_classes` had them just now. The same
    /// kinds must be apart as before. What is out or taken on stays as it is.
    pub fn apply_settings(&mut self, decoded: Decoded, classes: Classes) {
        let Decoded { settings, report, fields, zones, kinds, .. } = decoded;
        let names = &mut self.names;
        let mut fees = Vec::new();
        for (i, zone) in zones.iter().enumerate() {
            let at = names.zone(zone);
            fees.resize(fees.len().max(names.zones.len()), 0.0);
            if let (Some(fee), Some(held)) = (settings.zone_fees.get(i), fees.get_mut(at)) {
                *held = *fee;
            }
        }
        for (i, kind) in settings.kinds.iter().enumerate() {
            let name = kinds.get(i).cloned().unwrap_or_default();
            let at = names.kinds.iter().position(|known| *known == name).unwrap_or(names.kinds.len());
            if at == names.kinds.len() {
                names.kinds.push(name);
                self.batch_limits.push(kind.max_batch);
                self.limited_alone.push(kind.per_endpoint_limits);
            }
            self.batch_limits[at] = kind.max_batch;
            names.other = at;
        }
        (names.report, names.fields) = (report, fields);
        let by_number = self.batch_limits.iter().zip(&self.limited_alone);
        let settings = Settings {
            kinds: by_number
                .map(|(&batch, &apart)| Kind { max_batch: batch, per_endpoint_limits: apart })
                .collect(),
            classes: classes.classes.clone(),
            zone_fees: fees,
            ..settings
        };
        self.classes = classes;
        (self.max_open, self.turn_gap, self.resolution) =
            (settings.max_mails, settings.ordering_gap, settings.timer_resolution);
        let timeouts = (duration(settings.connection_timeout), duration(settings.idle_timeout));
        let _ =
            self.orders.send(Order::SetTimeouts { connect_timeout: timeouts.0, idle_timeout: timeouts.1 });
        self.inputs.push(Input::Settings(Box::new(settings)));
        self.notify.notify_one();
    }

    /// Rests that are over need not be kept.
    fn drop_elapsed_rests(&mut self) {
        let now = self.clock.now();
        self.rests.retain(|(_, since)| since + self.turn_gap > now);
    }

    /// Puts a record on file; whether it is there.
    fn append_record(&mut self, record: &Record) -> bool {
        if self.journal.is_grown(record) {
            self.drop_elapsed_rests();
            self.counts.compactions += 1;
            if let Err(e) = self.journal.compact(&self.owed, &self.rests) {
                // One line for as long as it lasts.
                let level = if self.journal_failed { log::Level::Debug } else { log::Level::Warn };
                log::log!(level, "the journal cannot be written anew: {e}");
            }
        }
        let written = self.journal.append(record);
        if let Err(e) = &written {
            // One line for as long as it lasts.
            if std::mem::replace(&mut self.journal_failed, true) {
                log::debug!("the journal still cannot be written: {e}");
            } else {
                log::warn!("the journal cannot be written: {e}");
            }
            return false;
        }
        self.journal_failed = false;
        true
    }

    /// Nothing more is owed for a mail.
    fn finish(&mut self, serial: u64) {
        if !self.owed.contains_key(&serial) {
            return;
        }
        // Before it is forgotten. Guards against a file that is written anew for this record: it would speak of
        // a mail that the file does not hold. Where this can't be noted the mail comes back after a restart, as
        // one that may have run.
        self.append_record(&Record::Over { serial });
        if let Some(owed) = self.owed.remove(&serial) {
            self.ids.remove(&owed.id);
            self.tally.ended += 1;
            self.journal.shrink(weight(&owed));
            self.open -= usize::from(owed.verdict.is_none());
        }
    }

    /// The client was gone before it heard that its mail was taken, or the mail turned out to be over.
    pub fn hangup(&mut self, serial: u64) {
        if self.owed.get(&serial).is_some_and(|owed| owed.verdict.is_none()) {
            self.counts.hangups += 1;
            self.finish(serial);
            if let Some(mail) = self.mail_serials.get(&serial) {
                // Guards against an outcome that the module reads first, giving up a mail that is over.
                let ended =
                    |input: &Input| matches!(input, Input::ConnectResult(ended) if ended.mail == mail);
                let at = self.inputs.iter().position(ended).unwrap_or(self.inputs.len());
                self.inputs.insert(at, Input::ClientGone { mail });
            }
            self.notify.notify_one();
        }
    }

    /// A connect that had its outcome turns out to have been served after all.
    pub fn relayed_late(&mut self, serial: u64) {
        if self.owed.contains_key(&serial) {
            self.counts.late += 1;
            self.hangup(serial);
        }
    }

    /// What another courier saw of an endpoint; nothing if the list has not named it here.
    pub fn note_received(&mut self, name: &[u8], note: PeerNote) {
        if let Some(endpoint) = self.endpoint_names.get(name) {
            self.counts.heard += 1;
            if let PeerNote::Refusing(wait @ 1..) = note {
                let unit = self.unit(endpoint);
                self.paused_units.push(unit);
                self.tally.hold(unit, self.clock.now() + wait);
            }
            self.inputs.push(Input::PeerNote { endpoint, note });
            self.notify.notify_one();
        }
    }

    /// The platform has heard of a mail's end.
    pub fn notice_accepted(&mut self, serial: u64) {
        self.finish(serial);
    }

    fn send_notice(&mut self, notice: Notice) {
        // The other end is there as long as the process runs.
        let _ = self.notices.send(notice);
    }

    /// Begins with the newer of the list that was kept and the one that the configuration knows. `ours`: whether what was
    /// kept for another deployment than this one, as `memory::deployment` has it, is ours all the same.
    pub fn recall(&mut self, known: List, ours: impl Fn(&str) -> bool) {
        let list = self.keeper.recall(known, self.clock.now(), ours);
        self.apply_list(&list);
    }

    /// The list, or changes to it.
    pub fn listed(&mut self, list: &List) {
        self.apply_list(&Update::from(list));
    }

    /// The same, as it was read.
    pub fn apply_list(&mut self, list: &Update) {
        if list.index < self.index {
            // Counted and taken up: only who follows the list knows whether another agent counts versions of its
            // own, and refusing those for good would be worse than an old line.
            self.counts.older += 1;
            log::warn!("a list of version {} came after version {}", list.index, self.index);
        }
        self.index = list.index;
        self.tally.listed(list.index);
        self.endpoints.iter_mut().filter(|_| list.whole).for_each(|peer| peer.ready = false);
        self.keeper.apply(list);
        self.inputs.push(Input::ListBegin { complete: list.whole });
        let mut places: Option<(&str, &str, usize, usize)> = None;
        for entry in list.entries.iter() {
            // Most entries name the zone and the kind that the one before named.
            if places.is_none_or(|(zone, kind, ..)| (zone, kind) != (entry.zone, entry.kind)) {
                let kind = self.names.kinds.iter().position(|kind| *kind == name(entry.kind));
                let kind = kind.unwrap_or(self.names.other);
                places = Some((entry.zone, entry.kind, self.names.zone(entry.zone), kind));
            }
            let (zone, kind) = places.map_or((0, 0), |(.., zone, kind)| (zone, kind));
            let (address, since, group) = (Address::read(entry.address), entry.since_ms, entry.group);
            let mut life = entry.endpoint_status();
            let name = entry.name.as_bytes();
            let endpoint = match self.endpoint_names.get(name) {
                None if life == EndpointStatus::Removed => continue,
                None => self.endpoint_names.intern(name.into()),
                Some(endpoint) => endpoint,
            };
            let incarnation = self.next_incarnation;
            let on_file = if zone < self.names.on_file { zone as u16 } else { NO_ZONE };
            let (zone_on_file, kind_of) = (on_file, kind as u32);
            let new = EndpointState {
                incarnation,
                address,
                since,
                zone: zone_on_file,
                group,
                kind: kind_of,
                ready: false,
            };
            match self.endpoints.get_mut(endpoint) {
                None => self.endpoints.push(new),
                Some(old) if old.incarnation == 0 => *old = new,
                // Guards against a name that turns up at another destination: mails for the old one stay away.
                Some(old) if old.group != group => life = EndpointStatus::Removed,
                // Moved or started anew: what is open leads nowhere.
                Some(old) if old.address != new.address || old.since != since => {
                    (old.address, old.since) = (new.address, since);
                    let left = std::mem::replace(&mut old.incarnation, incarnation);
                    let _ = self.orders.send(Order::CloseIdle(left));
                }
                Some(_) => {}
            }
            self.next_incarnation += 1;
            let peer = &mut self.endpoints[endpoint];
            peer.ready = life == EndpointStatus::Ready;
            let group = peer.group;
            self.inputs.push(Input::ListEntry(ListEntry {
                endpoint,
                destination: self.destinations.intern(group),
                zone,
                kind,
                status: life,
                rate: entry.weight,
            }));
        }
        self.inputs.push(Input::ListEnd);
        self.notify.notify_one();
    }

    /// Until when the last byte of a mail's call may go out. Guards against a repeat after the time for which its
    /// key is known, counted from the first connect that may have run: its call may have waited for a connection,
    /// and the file has it from an earlier process.
    fn send_deadline(&self, owed: &Owed) -> Time {
        let class = &self.classes.classes[usize::from(owed.class)];
        match (owed.ran, class.effect) {
            (None, _) | (_, Effect::Redeliverable) => Time::MAX,
            (Some((sent, _)), Effect::Tagged) => sent.saturating_add(class.dedup_window),
            (Some(_), Effect::OnceOnly) => 0,
        }
    }

    /// Just before the first byte of a call goes out: which of its mails still go, with their connects on
    /// file. None where its endpoint has moved, has been told of as leaving, or is to be left alone, since.
    pub fn begin(&mut self, call: &Call, mails: Vec<CallMail>) -> Vec<CallMail> {
        let now = self.clock.now();
        let (endpoint, unit) = (call.endpoint, self.unit(call.endpoint));
        // Guards against a call that begins between what was told and the turn in which the module reads it.
        let may = !self.stopped
            && !self.paused_units.contains(&unit)
            && self.endpoints[endpoint].ready
            && self.is_current(call)
            && self.control.may_call(endpoint, now);
        let sent: Sent = (now, self.endpoints[endpoint].zone);
        let (mut going, mut staying) = (Vec::with_capacity(mails.len()), Vec::new());
        for carried in mails {
            let serial = carried.serial;
            let owed = self.owed.contains_key(&serial);
            // Guards against a mail whose time passed while its call waited for a connection.
            let in_time = now < carried.until.min(carried.latest);
            if may && owed && in_time && self.append_record(&Record::Out { serial, sent }) {
                let owed = self.owed.get_mut(&serial);
                owed.into_iter().for_each(|owed| {
                    owed.out = Some(sent);
                    owed.connects += 1;
                });
                let flight =
                    self.mail_serials.get(&serial).and_then(|mail| self.connects_out.get_mut(mail)?.as_mut());
                let begun = flight.map(|flight| std::mem::replace(&mut flight.begun, true));
                must!(
                    self.counts.broken,
                    begun == Some(false),
                    "a call begins with a connect that is not out"
                );
                going.push(carried);
            } else {
                staying.push(serial);
            }
        }
        staying.into_iter().for_each(|serial| self.connect_ended(serial, ConnectReport::of(Outcome::Unsent)));
        let early =
            !going.is_empty() && (self.tally.is_held(unit, now) || self.control.is_on_hold(endpoint, now));
        must!(self.counts.broken, !early, "a call begins before a told wait is over");
        going
    }

    /// Whether the endpoint of a call is still where it was when the call was decided on.
    pub fn is_current(&self, call: &Call) -> bool {
        self.endpoints[call.endpoint].incarnation == call.incarnation
    }

    /// The outcome of one mail's connect.
    pub fn connect_ended(&mut self, serial: u64, result: ConnectReport) {
        let now = self.clock.now();
        let mail = self.mail_serials.get(&serial);
        let started = mail.and_then(|mail| self.connects_out.get_mut(mail)?.take());
        let (Some(mail), Some(Flight { endpoint, started, .. })) = (mail, started) else {
            must!(self.counts.broken, false, "an outcome came for a connect that is not out");
            return;
        };
        let ConnectReport { outcome, over, wait, load, kept } = result;
        self.tally.landed += 1;
        if wait > Duration::ZERO {
            let unit = self.unit(endpoint);
            self.paused_units.push(unit);
            self.tally.hold(unit, now + to_time(wait));
        }
        self.counts.relayed += u64::from(outcome == Outcome::Relayed);
        let (ran, rests) = (!outcome.never_ran(), outcome.may_still_run());
        if over {
            self.finish(serial);
        } else if let Some(owed) = self.owed.get_mut(&serial) {
            let sent = owed.out.take();
            if sent.is_some() {
                owed.ran = owed.ran.or(sent.filter(|_| ran));
                if rests && !owed.item.is_empty() {
                    self.rests.push((owed.item.clone(), now));
                }
                self.append_record(&Record::Back { serial, ran, rests, at: now });
            }
        }
        log::debug!(
            "mail {serial}: {outcome:?} after {} ms, wait {wait:?}",
            now.saturating_sub(started) / 10
        );
        let report = load.and_then(|load| self.names.report(&load));
        let took = now.saturating_sub(started);
        self.inputs.push(Input::ConnectResult(ConnectResult {
            mail,
            outcome,
            finished: over,
            retry_after: to_time(wait),
            duration: took,
            reused_connection: kept,
            limit_report: report,
        }));
        self.notify.notify_one();
    }

    /// One turn of the module, and its actions.
    pub fn turn(&mut self) {
        if self.stopped || self.turns_held {
            return;
        }
        let now = self.clock.now();
        if self.last_turn == 0 {
            // The pace begins with the turns.
            let together = self.batch_limits.iter().copied().max().unwrap_or(1);
            self.backlog.keep_pace(now, backlog::Pace { bears: 0.0, within: SUBMITTED_WITHIN, together });
        }
        self.last_turn = now;
        self.submit_backlog(now);
        let mut actions = std::mem::take(&mut self.actions);
        self.wake = self.control.step(now, &self.inputs, &mut actions);
        self.inputs.clear();
        // A long list has gone through it.
        self.inputs.shrink_to(MAX_KEPT_INPUTS);
        self.paused_units.clear();
        let mut calls: Vec<Call> = Vec::new();
        for action in actions.drain(..) {
            match action {
                Action::Connect { mail, endpoint, timeout, new_connection } => {
                    self.add_connect(&mut calls, mail, endpoint, now + timeout, new_connection);
                }
                Action::Defer { mail, retry_after: pause } => self.give_up(mail, Verdict::Bounced(pause)),
                Action::Bounce { mail } => self.give_up(mail, Verdict::Dead),
                Action::CloseIdle(endpoint) => {
                    let _ = self.orders.send(Order::CloseIdle(self.endpoints[endpoint].incarnation));
                }
                Action::FreeEndpoint(endpoint) => {
                    let left = std::mem::take(&mut self.endpoints[endpoint].incarnation);
                    self.tally.held.remove(&audit::Unit::Route(endpoint));
                    let _ = self.orders.send(Order::CloseIdle(left));
                    self.endpoint_names.release(endpoint);
                }
                // A watch is always kept open.
                Action::RequestList => {}
                Action::SendNote { endpoint, note } => {
                    if let (Some(notes), Some(name)) = (&self.news, self.endpoint_names.id(endpoint)) {
                        self.counts.told += 1;
                        let _ = notes.send((Bytes::copy_from_slice(name), note));
                    }
                }
                Action::FreeMail(mail) => self.mail_serials.release(mail),
                Action::FreeKey(key) => self.order_keys.release(key),
            }
        }
        self.actions = actions;
        self.counts.calls += calls.len() as u64;
        for call in calls {
            let _ = self.orders.send(Order::Call(call));
        }
        if self.index != std::mem::replace(&mut self.in_force, self.index) {
            log::trace!(target: IN_FORCE, "list {} is in force", self.index);
        }
        self.turns += 1;
        if cfg!(debug_assertions) || self.turns.is_multiple_of(audit::EVERY) {
            for fault in self.audit() {
                must!(self.counts.broken, false, "the audit found: {fault}");
            }
        }
        // Last, for it takes time that counts against the calls.
        self.keeper.save(now);
    }

    /// What is limited, and told to wait, as one with this endpoint.
    fn unit(&self, endpoint: usize) -> audit::Unit {
        let peer = &self.endpoints[endpoint];
        match self.limited_alone.get((peer.kind as usize).min(self.limited_alone.len() - 1)) {
            Some(true) => audit::Unit::Route(endpoint),
            _ => audit::Unit::Dest(peer.group),
        }
    }

    /// What does not hold of the books, after a turn, in words.
    pub fn audit(&self) -> Vec<String> {
        audit::faults(&Books {
            control: &self.control,
            owed: &self.owed,
            ids: &self.ids,
            open: self.open,
            flying: &self.connects_out,
            mails: &self.mail_serials,
            groups: &|endpoint| self.endpoints[endpoint].group,
            on_file: self.journal.live(),
            taken: self.counts.taken,
            index: self.index,
            older: self.counts.older,
            tally: &self.tally,
        })
    }

    /// Spoils one book, so that a test can show that the audit sees it; false where there is nothing to spoil.
    #[cfg(any(debug_assertions, feature = "spoil"))]
    pub fn spoil(&mut self, what: &str) -> bool {
        let flight = self.connects_out.iter().position(|flight| flight.is_some_and(|flight| flight.begun));
        let first = self.owed.keys().next().copied();
        match (what, flight, first) {
            ("taken", ..) => self.counts.taken += 1,
            ("ended", ..) => self.tally.ended += 1,
            ("open mails", ..) => self.open += 1,
            ("an id", _, Some(first)) => {
                let id = self.owed[&first].id.clone();
                self.ids.insert(id, first + 1);
            }
            ("one id more", ..) => drop(self.ids.insert(Bytes::from_static(b"none"), 0)),
            ("bytes on file", ..) => self.journal.shrink(1),
            ("an index of a mail", ..) => drop(self.mail_serials.intern(u64::MAX)),
            ("an outcome", ..) => self.tally.landed += 1,
            ("a connect lost", Some(mail), _) => self.connects_out[mail] = None,
            ("a record lost", Some(mail), _) => {
                let serial = self.connects_out[mail].map_or(0, |flight| flight.serial);
                self.owed.get_mut(&serial).into_iter().for_each(|owed| owed.out = None);
            }
            ("a record too many", _, Some(_)) => {
                let parked = self.owed.values_mut().find(|owed| owed.out.is_none());
                parked.into_iter().for_each(|owed| owed.out = Some((1, 0)));
            }
            ("an endpoint", Some(mail), _) => {
                let other = |e: usize| if e == 0 { 1 } else { 0 };
                let flight = self.connects_out[mail].as_mut();
                flight.into_iter().for_each(|flight| flight.endpoint = other(flight.endpoint));
            }
            ("a group", Some(mail), _) => {
                let endpoint = self.connects_out[mail].map_or(0, |flight| flight.endpoint);
                self.endpoints[endpoint].group += 1;
            }
            ("a mail twice", Some(mail), _) => {
                let copy = self.connects_out[mail];
                self.connects_out.push(copy);
            }
            ("two calls made one", Some(_), _) => {
                self.connects_out.iter_mut().flatten().for_each(|flight| flight.call = 0);
            }
            ("a version", ..) => self.index -= 1,
            ("an older list", ..) => self.counts.older += 1,
            ("a told wait", Some(mail), _) => {
                let endpoint = self.connects_out[mail].map_or(0, |flight| flight.endpoint);
                self.tally.hold(self.unit(endpoint), Time::MAX);
            }
            _ => return self.control.corrupt(what),
        }
        true
    }

    /// What is owed in hand and is not so on file, in words.
    pub fn audit_file(&self, found: &Found) -> Vec<String> {
        audit::file_faults(&self.owed, found)
    }

    /// A connect joins the round's call to its endpoint while that has room.
    fn add_connect(
        &mut self,
        calls: &mut Vec<Call>,
        mail: usize,
        endpoint: usize,
        until: Time,
        new_connection: bool,
    ) {
        let serial = self.mail_serials.id(mail).copied();
        let Some((serial, owed)) = serial.and_then(|serial| Some((serial, self.owed.get(&serial)?))) else {
            must!(self.counts.broken, false, "a connect was asked for a mail that is not in hand");
            return;
        };
        if mail >= self.connects_out.len() {
            self.connects_out.resize(mail + 1, None);
        }
        must!(self.counts.broken, self.connects_out[mail].is_none(), "a mail has two connects out at once");
        self.tally.begun += 1;
        log::debug!(
            "mail {serial} for {}: connect to endpoint {endpoint}, {}",
            owed.dest,
            until - self.last_turn
        );
        let carried = CallMail {
            serial,
            id: owed.id.clone(),
            key: owed.key.clone(),
            body: owed.body.clone(),
            until,
            due: owed.due,
            latest: self.send_deadline(owed),
        };
        let peer = &self.endpoints[endpoint];
        let most = self.batch_limits[(peer.kind as usize).min(self.batch_limits.len() - 1)];
        let size = http::size_in_batch(&carried.id, &carried.key, &carried.body);
        let fits = |c: &Call| c.mails.len() < most && c.size + size <= http::MAX_BODY;
        // Guards against two of the module's calls made one: a trial would carry several mails.
        let slot = self.control.call_of(mail).map_or(usize::MAX, |(slot, _)| slot);
        let at = calls.iter().position(|c| c.slot == slot && fits(c)).unwrap_or(calls.len());
        match calls.get_mut(at) {
            Some(call) => {
                call.mails.push(carried);
                call.size += size;
                call.new_connection |= new_connection;
            }
            None => {
                let (incarnation, address, mails) = (peer.incarnation, peer.address.get(), vec![carried]);
                calls.push(Call { endpoint, slot, incarnation, address, new_connection, mails, size });
            }
        }
        let call = self.counts.calls + at as u64;
        self.connects_out[mail] =
            Some(Flight { serial, endpoint, call, started: self.last_turn, begun: false });
    }

    fn give_up(&mut self, mail: usize, verdict: Verdict) {
        let now = self.clock.now();
        let serial = self.mail_serials.id(mail).copied();
        let owed = serial.and_then(|serial| self.owed.get_mut(&serial));
        let (Some(serial), Some(owed)) = (serial, owed) else {
            must!(self.counts.broken, false, "a mail that is not in hand was given up");
            return;
        };
        must!(self.counts.broken, owed.verdict.is_none(), "a mail was given up twice");
        owed.verdict = Some(verdict);
        self.journal.shrink(owed.body.len() as u64);
        owed.body.clear();
        let (id, dest, left) = (owed.id.clone(), owed.dest, owed.due.saturating_sub(now));
        self.open -= 1;
        self.counts.given_up += 1;
        // Guards against a mail that is handed back, handed in anew, and sent by the next process all the same:
        // what is not on file as given up is not told as harmless to hand in again.
        let noted = self.append_record(&Record::GivenUp { serial, verdict });
        let verdict = if noted { verdict } else { Verdict::Dead };
        if let Some(owed) = self.owed.get_mut(&serial) {
            owed.verdict = Some(verdict);
        }
        let words = String::from_utf8_lossy(&id);
        log::debug!(
            "message {words}, mail {serial} for {dest}: given up, {verdict:?}, {} ms left",
            left / 10
        );
        self.send_notice(Notice { serial, id, verdict });
    }

    /// When the next turn is due.
    fn next_turn(&self) -> Option<Instant> {
        // Guards against turns without end and without effect: what was due at the stop stays due.
        if self.stopped {
            return None;
        }
        // The first turn is asked for by notice, and may be kept back: it is not due before.
        let owed = self.backlog.wake().filter(|_| self.last_turn > 0);
        [self.wake, owed].into_iter().flatten().min().map(|at| self.clock.instant(at))
    }

    /// No turn is given before this, so that turns are no closer than the settings say.
    fn earliest_turn(&self) -> Time {
        self.last_turn + self.resolution
    }

    /// No call begins until `release`; mails are taken on meanwhile.
    pub fn hold(&mut self) {
        self.turns_held = true;
    }

    pub fn release(&mut self) {
        if std::mem::take(&mut self.turns_held) {
            self.notify.notify_one();
        }
    }

    /// The process was asked to end: calls begin for so long, and those of the next process no sooner than that.
    pub fn begin_shutdown(&mut self, calls_for: Duration, next_after: Duration) {
        let now = self.clock.now();
        let shutdown =
            Shutdown { calls_until: now + to_time(calls_for), successor_from: now + to_time(next_after) };
        self.inputs.push(Input::Shutdown(shutdown));
        self.notify.notify_one();
    }

    /// No further call begins. What nobody can try any more is given back in a last turn.
    pub fn stop(&mut self) {
        self.turn();
        self.stopped = true;
    }

    /// Connects that have no outcome yet, and ends that were decided on and are not told yet.
    pub fn unfinished(&self) -> usize {
        self.in_flight() + self.owed.values().filter(|owed| owed.verdict.is_some()).count()
    }

    /// Mails without an end, notices to come included.
    pub fn in_hand(&self) -> usize {
        self.owed.len()
    }

    /// Connects that have no outcome yet.
    pub fn in_flight(&self) -> usize {
        self.connects_out.iter().flatten().count()
    }
}

impl Listener for Exchange {
    fn apply_update(&mut self, list: &Update) {
        self.apply_list(list);
    }

    fn count_after(&self, changes: &Update) -> usize {
        self.endpoint_names.len()
            + changes.count_added(|name| self.endpoint_names.get(name.as_bytes()).is_some())
    }

    fn hold_calls(&mut self) {
        Exchange::hold(self);
    }

    fn release_calls(&mut self) {
        Exchange::release(self);
    }
}

/// Gives the module its turns: when something was seen, and when it asked for one, but no more often than
/// the settings say.
pub async fn run_turns(shared: Shared) {
    let (notify, clock) = {
        let exchange = shared.borrow();
        (exchange.notify.clone(), exchange.clock)
    };
    loop {
        let due = shared.borrow().next_turn();
        tokio::select! {
            () = notify.notified() => {}
            () = sleep_until(due) => {}
        }
        let earliest = clock.instant(shared.borrow().earliest_turn());
        tokio::time::sleep_until(earliest.into()).await;
        shared.borrow_mut().turn();
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

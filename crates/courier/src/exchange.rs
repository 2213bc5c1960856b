//! The exchange connects clients and endpoints. It owns the decision module (`Control`), the interners, the
//! mails in hand, the journal and the timer; it carries out the module's actions and reports to it what was
//! observed.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, SocketAddrV4, SocketAddrV6};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use meadowhold::control::Control;
use meadowhold::interface::{
    AcceptedMail, Action, ConnectResult, Effect, EndpointStatus, Input, Kind, LimitReport, ListEntry,
    Outcome, PeerNote, Settings, Shutdown, Time, SECOND,
};
use meadowhold::interner::Interner;
use meadowhold::response_order::Claim;
use meadowhold_settings::{normalized_name, Decoded};
use meadowhold_start::backlog::{self, Backlog};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;

use crate::audit::{self, AuditCounters, AuditedState, PendingConnect};
use crate::discovery::{List, Listener};
use crate::entries::Update;
use crate::journal::{
    class_for_restored, ClassTerms, Journal, JournalContents, OwedMail, Record, Sent, Verdict, UNKNOWN_ZONE,
};
use crate::memory::{deployment, ListStore};
use crate::numbers::Classes;
use crate::pool::ConnectionCounts;
use crate::process_watch::ProcessCounts;
use crate::{http, must};

pub mod answered_requests;
mod ending;
pub mod lifecycle;
mod provisional;
mod unrecorded_ends;

pub use crate::clock::{to_duration, to_time, Clock};
use answered_requests::{answer_behind_notice, AnsweredRequests, RequestEnd};
use lifecycle::{Lifecycle, Phase, Step};
pub use provisional::ProvisionalCounts;
use provisional::ProvisionalMails;
pub use provisional::RevokeReason;
use unrecorded_ends::UnrecordedEnds;

/// Restored mails are submitted to the decision module within this time: all of them in the first turn.
/// Spread over 250 ms, mails after a mass restart lost importance; see `docs/start.md`.
const SUBMITTED_WITHIN: Time = 0;
/// Whether restored mails are submitted by importance and deadline; otherwise in the order of acceptance.
/// Off, since it did worse on the bench; see `docs/start.md`.
const BY_IMPORTANCE: bool = false;

/// Log target of `list VERSION is in force`, at level `trace`, so that it appears only where it is asked for.
pub const IN_FORCE: &str = "in_force";
/// Capacity that is kept for the inputs of a turn.
const MAX_KEPT_INPUTS: usize = 16 << 10;

pub type Shared = Rc<RefCell<Exchange>>;

/// A mail that a client submits.
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
    /// Accepted: from now on the courier must finish the mail. The serial number is for withdrawing it if the
    /// client leaves before it has read the answer.
    Taken(u64),
    /// Accepted earlier, and delivered or not finished yet.
    Known,
    Busy,
    Failed(&'static str),
}

/// A mail as part of a call.
#[derive(Clone, Debug)]
pub struct CallMail {
    pub serial: u64,
    pub id: Bytes,
    pub key: Bytes,
    pub body: Bytes,
    /// When its connect times out, as the decision module set it.
    pub times_out_at: Time,
    pub deadline: Time,
    /// The last byte of its call must be sent before this: from then on the endpoint may have forgotten the
    /// key of an earlier connect and would not recognise a repeat.
    pub send_before: Time,
}

/// One call to one endpoint.
#[derive(Debug)]
pub struct Call {
    pub endpoint: usize,
    /// The decision module's slot. The parts of a call that is split by size share one slot.
    pub slot: usize,
    /// The endpoint's incarnation when the call was decided on. Numbers of incarnations are never reused.
    pub incarnation: u64,
    pub address: Option<SocketAddr>,
    /// The call must use a new connection.
    pub new_connection: bool,
    pub mails: Vec<CallMail>,
    /// Upper bound of the size of its body as a batch, which is at most `http::MAX_BODY`.
    pub size: usize,
}

/// Orders to the task that calls endpoints.
#[derive(Debug)]
pub enum Order {
    Call(Call),
    /// Close the idle connections to this incarnation of an endpoint.
    CloseIdle(u64),
    /// Use these timeouts for opening connections and for keeping them idle from now on.
    SetTimeouts {
        connect_timeout: Duration,
        idle_timeout: Duration,
    },
    /// Report the mails with deadlines before this time as timed out.
    ExpireBefore(Time),
}

/// A notice to the platform about a mail that was given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    pub serial: u64,
    pub id: Bytes,
    pub verdict: Verdict,
}

/// What was observed of one mail's connect.
#[derive(Clone, Debug)]
pub struct ConnectReport {
    pub outcome: Outcome,
    pub finished: bool,
    pub retry_after: Duration,
    pub load: Option<String>,
    /// The call used a connection that had carried an earlier one.
    pub reused_connection: bool,
}

impl ConnectReport {
    /// A report of which only the outcome is known.
    pub fn of(outcome: Outcome) -> ConnectReport {
        ConnectReport {
            outcome,
            finished: outcome == Outcome::Relayed,
            retry_after: Duration::ZERO,
            load: None,
            reused_connection: false,
        }
    }
}

/// A socket address in half the size of `SocketAddr`: one is kept for each entry of the list.
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
    /// Replaced when the endpoint's address or process changes; 0 if the index is unused.
    incarnation: u64,
    address: Address,
    since: u64,
    /// The number of its zone in the journal.
    zone: u16,
    kind: u32,
    destination: u64,
    /// Ready according to the latest list, even if the decision module has not read it yet.
    ready: bool,
}

/// Connections of clients that were closed for want of room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Between two commands.
    pub evicted_idle: u64,
    /// Before the first answer, or within a command.
    pub evicted_unserved: u64,
    /// Within a long command, for want of memory.
    pub evicted_for_memory: u64,
    /// Requests that were refused since their client had ended its connection.
    pub refused_ended: u64,
}

/// Counts since the start of the process, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub taken: u64,
    pub busy: u64,
    /// Requests that were copies of earlier ones.
    pub copies: u64,
    pub failed: u64,
    pub calls: u64,
    pub relayed: u64,
    pub given_up: u64,
    pub late: u64,
    pub hangups: u64,
    /// Messages that ended though they had ended before; always 0.
    pub ended_twice: u64,
    /// Messages that were given up after an answer had said that they were delivered.
    pub told_after_delivery: u64,
    pub compactions: u64,
    /// Lists or changes with a lower version than an earlier one.
    pub older: u64,
    /// Saves of the list that have failed.
    pub list_saves_failed: u64,
    /// Notes sent to and received from other couriers.
    pub told: u64,
    pub heard: u64,
    pub connections: ConnectionCounts,
    pub provisional: ProvisionalCounts,
    pub clients: ClientCounts,
    pub process: ProcessCounts,
    /// Violated invariants.
    pub broken: u64,
}

pub struct Exchange {
    control: Control,
    pub clock: Clock,
    names: NameTable,
    max_open: usize,
    batch_limits: Vec<usize>,
    /// For each kind, whether its endpoints are limited individually rather than per destination.
    per_endpoint_limits: Vec<bool>,
    /// The queue classes by number: those of the settings, and those that mails of an earlier process or
    /// version still use.
    classes: Classes,
    ordering_gap: Time,
    timer_resolution: Time,
    /// The decision module's indices of mails, endpoints, destinations and ordering keys.
    mail_serials: Interner<u64>,
    endpoint_names: Interner<Box<[u8]>>,
    destinations: Interner<u64>,
    order_keys: Interner<Bytes>,
    /// Endpoints by their index in `endpoint_names`.
    endpoints: Vec<EndpointState>,
    /// Connects in flight, by the index of their mail.
    connects_out: Vec<Option<PendingConnect>>,
    /// Units that are to be left alone by inputs that the decision module has not read yet.
    paused_units: Vec<audit::LimitScope>,
    owed: BTreeMap<u64, OwedMail>,
    ids: HashMap<Bytes, u64>,
    /// Requests whose messages are not owed, for copies of them.
    answered: AnsweredRequests,
    /// Ordering keys with a connect that may still be running, and since when.
    keys_in_flight: Vec<(Bytes, Time)>,
    /// Restored mails that have not been submitted to the decision module yet.
    backlog: Backlog,
    /// Mails that the decision module does not hold, because their last outcome may be another call's.
    provisional: ProvisionalMails,
    /// The phase of each owed mail.
    lifecycle: Lifecycle,
    unrecorded: UnrecordedEnds,
    /// Whether a mail may have two connects in flight at once.
    may_overlap: bool,
    /// Mails that the decision module holds.
    open_mails: usize,
    next_serial: u64,
    next_incarnation: u64,
    journal: Journal,
    keeper: ListStore,
    journal_failed: bool,
    /// The most bytes that messages in hand may take.
    max_message_bytes: u64,
    inputs: Vec<Input>,
    actions: Vec<Action>,
    wake: Option<Time>,
    turns: u64,
    last_turn: Time,
    /// No call may begin any more.
    stopped: bool,
    /// When the next process begins its calls, once this one shuts down.
    next_process_from: Time,
    /// Turns are held back, so that no call begins, until the discovery agent has been asked.
    turns_held: bool,
    notify: Rc<Notify>,
    orders: UnboundedSender<Order>,
    notices: UnboundedSender<Notice>,
    /// Notes to the other couriers, if there are any.
    notes: Option<UnboundedSender<(Bytes, PeerNote)>>,
    /// Version of the latest list, and of the list as of the last turn.
    list_version: u64,
    list_in_force: u64,
    /// Independent counts for the audit.
    tally: AuditCounters,
    pub counts: Counts,
    /// The version of the settings in force, and rejected ones.
    pub versions: Versions,
}

/// What a courier reports about versions of its settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// The number of the version in force, and since when.
    pub in_force: Option<(u64, Time)>,
    /// Message about the last version rejected since then, with all faults.
    pub rejected: Option<String>,
}

impl Versions {
    /// One line for the log; `None` if the settings have no version.
    pub fn summary(&self, now: Time) -> Option<String> {
        let (number, since) = self.in_force?;
        let age = now.saturating_sub(since) / SECOND;
        let down = self.rejected.as_ref().map(|words| format!("; {words}")).unwrap_or_default();
        Some(format!("settings version {number} are in force for {age} s{down}"))
    }
}

/// Numbers of the names used in the protocols.
struct NameTable {
    /// Zones of the settings, then those that only a list or a later version has named.
    zones: Vec<String>,
    /// The first so many zones have a number that the journal knows.
    zones_in_journal: usize,
    /// Kinds of all versions so far, by number.
    kinds: Vec<String>,
    /// The number used for unknown kinds.
    other_kind: usize,
    report: [Option<usize>; 2],
    fields: Vec<String>,
}

impl NameTable {
    /// The number of a zone. Each zone that the settings do not name gets its own number: a key known in one
    /// of them is not known in another.
    fn zone(&mut self, text: &str) -> usize {
        let zone = normalized_name(text);
        let at = self.zones.iter().position(|known| *known == zone).unwrap_or(self.zones.len());
        if at == self.zones.len() && at < usize::from(UNKNOWN_ZONE) {
            self.zones.push(zone);
        }
        at.min(usize::from(UNKNOWN_ZONE))
    }

    /// Reads the limit from a load report.
    fn report(&self, load: &str) -> Option<LimitReport> {
        let value = |place: Option<usize>| -> Option<f64> {
            let value: f64 = http::pair_value(load, self.fields.get(place?)?)?.parse().ok()?;
            value.is_finite().then_some(value)
        };
        Some(LimitReport { remaining: value(self.report[0])?, limit: value(self.report[1])? })
    }
}

impl Exchange {
    /// An exchange whose clock begins with the system time.
    pub fn new(
        decoded: Decoded,
        (journal, found): (Journal, JournalContents),
        orders: UnboundedSender<Order>,
        notices: UnboundedSender<Notice>,
        notes: Option<UnboundedSender<(Bytes, PeerNote)>>,
    ) -> Exchange {
        Exchange::with_clock(Clock::new(), decoded, (journal, found), orders, notices, notes)
    }

    /// The same with a given clock.
    pub fn with_clock(
        clock: Clock,
        decoded: Decoded,
        (journal, mut found): (Journal, JournalContents),
        orders: UnboundedSender<Order>,
        notices: UnboundedSender<Notice>,
        notes: Option<UnboundedSender<(Bytes, PeerNote)>>,
    ) -> Exchange {
        let deployment = deployment(&decoded);
        let Decoded {
            mut settings,
            report_positions: report,
            report_fields: fields,
            classes,
            zones,
            mut kinds,
            may_overlap,
            ..
        } = decoded;
        let current: Vec<ClassTerms> =
            classes.iter().zip(&settings.classes).map(|(name, class)| ClassTerms::new(name, class)).collect();
        let mut terms = current.clone();
        for owed in found.owed.values_mut() {
            owed.class = class_for_restored(owed, &current, &mut settings.classes);
            let more = settings.classes.iter().skip(terms.len());
            let more = more
                .map(|class| ClassTerms { class: owed.terms.class.clone(), ..ClassTerms::new("", class) });
            terms.extend(more.collect::<Vec<_>>());
        }
        let by_name = classes.into_iter().enumerate().map(|(i, class)| (Bytes::from(class), i)).collect();
        // The decision module has at least one kind.
        kinds.resize(settings.kinds.len(), String::new());
        let (folder, allowance) = journal.location();
        let mut exchange = Exchange {
            keeper: ListStore::new(folder, allowance, deployment),
            names: NameTable {
                zones,
                zones_in_journal: 0,
                other_kind: kinds.len() - 1,
                kinds,
                report,
                fields,
            },
            max_open: settings.max_mails,
            batch_limits: settings.kinds.iter().map(|kind| kind.max_batch).collect(),
            per_endpoint_limits: settings.kinds.iter().map(|kind| kind.per_endpoint_limits).collect(),
            classes: Classes { classes: settings.classes.clone(), terms, by_name },
            ordering_gap: settings.ordering_gap,
            timer_resolution: settings.timer_resolution,
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
            answered: AnsweredRequests::default(),
            keys_in_flight: Vec::new(),
            backlog: Backlog::default(),
            provisional: ProvisionalMails::default(),
            lifecycle: Lifecycle::default(),
            unrecorded: UnrecordedEnds::default(),
            may_overlap,
            open_mails: 0,
            next_serial: found.owed.keys().next_back().map_or(1, |last| last + 1),
            next_incarnation: 1,
            journal,
            journal_failed: false,
            max_message_bytes: u64::MAX,
            inputs: Vec::new(),
            actions: Vec::new(),
            wake: None,
            turns: 0,
            last_turn: 0,
            stopped: false,
            next_process_from: 0,
            turns_held: false,
            notify: Rc::default(),
            orders,
            notices,
            notes,
            list_version: 0,
            list_in_force: 0,
            tally: AuditCounters { restored: found.owed.len() as u64, ..AuditCounters::default() },
            counts: Counts::default(),
            versions: Versions::default(),
        };
        exchange.restore(found);
        exchange
    }

    /// Limits the bytes of the messages in hand; those that are held already stay.
    pub fn limit_message_bytes(&mut self, bytes: u64) {
        self.max_message_bytes = bytes;
    }

    /// Restores the mails of an earlier process, in the order of acceptance, or by importance and then
    /// deadline.
    fn restore(&mut self, mut found: JournalContents) {
        let now = self.clock.now();
        // If zones are named or numbered differently now, the zone of an earlier connect is unknown. A repeat
        // must not go to a zone where its key is not known.
        let zones = Bytes::from(self.names.zones.join(","));
        let known = found.zones == zones;
        if !known {
            found.owed.values_mut().for_each(OwedMail::clear_zones);
        }
        // Zone numbers that are not in the journal are not used: connects are then recorded without a zone.
        if known || self.append_record(&Record::Zones { names: &zones }) {
            self.names.zones_in_journal = self.names.zones.len();
        }
        let mut mails = Vec::with_capacity(found.owed.len());
        let mut keys: HashMap<Bytes, u64> = HashMap::new();
        self.keys_in_flight = found.keys_in_flight;
        for ended in found.ended {
            let end = ended.verdict.map_or(RequestEnd::Delivered, RequestEnd::GivenUp);
            self.answered.remember(now, &ended.id, end);
        }
        for (serial, mut owed) in found.owed {
            // A connect in flight when the process ended may have run, and may still be running.
            let out = owed.in_flight.take();
            owed.first_run = owed.first_run.or(out);
            // If the clock was set back, the time of the connect is unknown.
            owed.first_run = owed.first_run.map(|(at, zone)| (if at > now { 0 } else { at }, zone));
            if out.is_some() && !owed.order_key.is_empty() {
                self.keys_in_flight.push((owed.order_key.clone(), now));
                self.append_record(&Record::KeyInFlight { order_key: &owed.order_key, since: now });
            }
            self.ids.insert(owed.id.clone(), serial);
            let phase = if owed.verdict.is_some() { Phase::GivenUp } else { Phase::Waiting };
            self.lifecycle.add(serial, phase);
            match owed.verdict {
                Some(verdict) => self.send_notice(Notice { serial, id: owed.id.clone(), verdict }),
                None if !BY_IMPORTANCE => {
                    self.open_mails += 1;
                    self.submit(serial, &owed);
                }
                None => {
                    self.open_mails += 1;
                    let next = keys.len() as u64;
                    let key =
                        self.is_ordered(&owed).then(|| *keys.entry(owed.order_key.clone()).or_insert(next));
                    let importance = self.classes.classes[usize::from(owed.class)].importance;
                    mails.push(backlog::Mail { serial, importance, deadline: owed.deadline, key });
                }
            }
            self.owed.insert(serial, owed);
        }
        self.drop_elapsed_keys();
        for i in 0..self.keys_in_flight.len() {
            let (item, since) = self.keys_in_flight[i].clone();
            let key = self.order_keys.intern(item);
            self.inputs.push(Input::KeyInFlight { key, at: since });
        }
        self.backlog = Backlog::new(now, mails);
        self.notify.notify_one();
        if !self.owed.is_empty() {
            log::info!("{} mails of an earlier process are owed their end", self.owed.len());
        }
    }

    /// Whether a mail is kept in order with the others of its key.
    fn is_ordered(&self, owed: &OwedMail) -> bool {
        !owed.order_key.is_empty() && self.classes.classes[usize::from(owed.class)].ordered
    }

    /// Submits the restored mails that are due by now to the decision module.
    fn submit_backlog(&mut self, now: Time) {
        while let Some(serial) = self.backlog.pop_due(now) {
            // A mail that has been finished meanwhile is skipped.
            if let Some(owed) = self.owed.remove(&serial) {
                self.submit(serial, &owed);
                self.owed.insert(serial, owed);
            }
        }
    }

    /// Submits a mail to the decision module.
    fn submit(&mut self, serial: u64, owed: &OwedMail) {
        let class = usize::from(owed.class);
        let ordered = self.is_ordered(owed);
        let mail = self.mail_serials.intern(serial);
        self.inputs.push(Input::AcceptedMail(AcceptedMail {
            mail,
            destination: self.destinations.intern(owed.destination),
            class,
            key: ordered.then(|| self.order_keys.intern(owed.order_key.clone())),
            submitted_at: owed.submitted_at,
            deadline: owed.deadline,
            connects_used: owed.connects as usize,
            first_run: owed.first_run.map(|(at, zone)| (at, usize::from(zone))),
        }));
        self.notify.notify_one();
    }

    /// The answer to a copy of a request that was answered before; `None` if it was not.
    fn answer_to_copy(&self, offer: &Offer) -> Option<Answer> {
        let Some(owed) = self.ids.get(&offer.id).and_then(|serial| self.owed.get(serial)) else {
            return self.answered.answer_to(self.clock.now(), offer);
        };
        Some(owed.verdict.map_or(Answer::Known, answer_behind_notice))
    }

    /// Accepts a message, or refuses it. A copy of an earlier request gets the answer to that one.
    pub fn hand_in(&mut self, offer: Offer) -> Answer {
        if let Some(answer) = self.answer_to_copy(&offer) {
            self.counts.copies += 1;
            return answer;
        }
        let Some(&class) = self.classes.by_name.get(&offer.class) else {
            self.counts.failed += 1;
            return Answer::Failed("ERR unknown class");
        };
        // A destination that no list has named does not exist, and its mails would never be relayed.
        let Some(destination) = self.destinations.get(&offer.destination) else {
            self.counts.failed += 1;
            return Answer::Failed("ERR unknown destination");
        };
        let ordered = self.classes.classes[class].ordered && offer.order_key.iter().any(|&b| b != b'0');
        let refused = RequestEnd::refused(&offer);
        let owed = OwedMail {
            id: offer.id,
            key: offer.key,
            order_key: if ordered { offer.order_key } else { Bytes::new() },
            class: class as u16,
            terms: self.classes.terms[class].clone(),
            destination: offer.destination,
            submitted_at: self.clock.now(),
            deadline: self.clock.now() + to_time(offer.lifetime),
            body: offer.body,
            ..OwedMail::default()
        };
        let serial = self.next_serial;
        log::debug!("mail {serial} of class {class} for destination {} received", owed.destination);
        if self.open_mails >= self.max_open
            || self.control.would_reject(destination, class, owed.deadline)
            || self.journal.owed_bytes() + owed.body.len() as u64 > self.max_message_bytes
            || !self.journal.has_room(&owed)
            || !self.append_record(&Record::Accepted { serial, owed: &owed })
        {
            self.counts.busy += 1;
            self.answered.remember(self.clock.now(), &owed.id, refused);
            return Answer::Busy;
        }
        self.next_serial += 1;
        self.counts.taken += 1;
        let (id, lifetime) = (String::from_utf8_lossy(&owed.id), owed.deadline - owed.submitted_at);
        log::debug!("message {id} accepted as mail {serial}, lifetime {} ms", lifetime / 10);
        self.ids.insert(owed.id.clone(), serial);
        // A restored mail of the same key must not be overtaken.
        let same = |old: u64| self.owed.get(&old).is_some_and(|old| old.order_key == owed.order_key);
        if self.is_ordered(&owed) && self.backlog.waiting().any(same) {
            self.submit_backlog(Time::MAX);
        }
        self.open_mails += 1;
        self.lifecycle.add(serial, Phase::Waiting);
        self.submit(serial, &owed);
        self.owed.insert(serial, owed);
        Answer::Taken(serial)
    }

    /// Refuses a message whose client has ended its connection, or its side of it, before the request was read: a client
    /// that has closed all of it cannot read the answer, and may hand the message in again. A copy of an earlier request
    /// gets the answer to that one.
    pub fn refuse_ended_client(&mut self, offer: &Offer) -> Answer {
        self.counts.clients.refused_ended += 1;
        self.answer_to_copy(offer).unwrap_or(Answer::Busy)
    }

    /// Computes the class numbers under other settings, without changing anything.
    ///
    /// # Errors
    /// The setting at fault and a message.
    pub fn plan_classes(&self, decoded: &Decoded) -> Result<Classes, (&'static str, &'static str)> {
        let used = self.owed.values().filter(|owed| owed.verdict.is_none());
        let used: BTreeSet<usize> = used.map(|owed| usize::from(owed.class)).collect();
        let classes = &decoded.settings.classes;
        let after = self.classes.next_version(&decoded.classes, classes, |class| used.contains(&class));
        after.map_err(|words| ("setting Profiles", words))
    }

    /// Puts settings in force, between two turns. `classes` is the result of `plan_classes` just before; the
    /// kinds with individually limited endpoints must be the same as before. Accepted mails and calls in
    /// flight are not affected.
    pub fn apply_settings(&mut self, decoded: Decoded, classes: Classes) {
        let Decoded { settings, report_positions: report, report_fields: fields, zones, kinds, .. } = decoded;
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
                self.per_endpoint_limits.push(kind.per_endpoint_limits);
            }
            self.batch_limits[at] = kind.max_batch;
            names.other_kind = at;
        }
        (names.report, names.fields) = (report, fields);
        let by_number = self.batch_limits.iter().zip(&self.per_endpoint_limits);
        let settings = Settings {
            kinds: by_number
                .map(|(&batch, &apart)| Kind { max_batch: batch, per_endpoint_limits: apart })
                .collect(),
            classes: classes.classes.clone(),
            zone_fees: fees,
            ..settings
        };
        self.classes = classes;
        (self.max_open, self.ordering_gap, self.timer_resolution) =
            (settings.max_mails, settings.ordering_gap, settings.timer_resolution);
        let timeouts = (to_duration(settings.connection_timeout), to_duration(settings.idle_timeout));
        let _ =
            self.orders.send(Order::SetTimeouts { connect_timeout: timeouts.0, idle_timeout: timeouts.1 });
        self.inputs.push(Input::Settings(Box::new(settings)));
        self.notify.notify_one();
    }

    /// Drops ordering gaps that have elapsed.
    fn drop_elapsed_keys(&mut self) {
        let now = self.clock.now();
        self.keys_in_flight.retain(|(_, since)| since + self.ordering_gap > now);
    }

    /// Appends a record to the journal; false if it could not be written.
    fn append_record(&mut self, record: &Record) -> bool {
        if self.journal.needs_compaction(record) {
            self.drop_elapsed_keys();
            self.counts.compactions += 1;
            if let Err(e) = self.journal.compact(&self.owed, &self.keys_in_flight) {
                // Warns once for as long as the failure lasts.
                let level = if self.journal_failed { log::Level::Debug } else { log::Level::Warn };
                log::log!(level, "the journal cannot be written anew: {e}");
            }
        }
        let written = self.journal.append(record);
        if let Err(e) = &written {
            // Warns once for as long as the failure lasts.
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

    /// A note of another courier about an endpoint. Ignored if the list has not named the endpoint here.
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

    /// Starts with the saved list or the one in the configuration, whichever is newer. `ours` tells whether a
    /// list that was saved for another deployment (`memory::deployment`) may be used.
    pub fn restore_list(&mut self, known: List, ours: impl Fn(&str) -> bool) {
        let list = self.keeper.recall(known, self.clock.now(), ours);
        self.apply_list(&list);
    }

    /// Applies a list, or changes to it.
    pub fn listed(&mut self, list: &List) {
        self.apply_list(&Update::from(list));
    }

    /// The same for a list in its compact form.
    pub fn apply_list(&mut self, list: &Update) {
        if list.index < self.list_version {
            // Counted, but applied: only the task that follows the list can tell whether another agent uses
            // its own version numbers, and rejecting those forever would be worse than an outdated entry.
            self.counts.older += 1;
            log::warn!("list version {} is lower than the earlier version {}", list.index, self.list_version);
        }
        self.list_version = list.index;
        self.tally.record_list_version(list.index);
        self.endpoints.iter_mut().filter(|_| list.whole).for_each(|state| state.ready = false);
        self.keeper.apply(list);
        self.inputs.push(Input::ListBegin { complete: list.whole });
        let mut previous: Option<(&str, &str, usize, usize)> = None;
        for entry in list.entries.iter() {
            // Most entries have the same zone and kind as the one before.
            if previous.is_none_or(|(zone, kind, ..)| (zone, kind) != (entry.zone, entry.kind)) {
                let kind = self.names.kinds.iter().position(|kind| *kind == normalized_name(entry.kind));
                let kind = kind.unwrap_or(self.names.other_kind);
                previous = Some((entry.zone, entry.kind, self.names.zone(entry.zone), kind));
            }
            let (zone, kind) = previous.map_or((0, 0), |(.., zone, kind)| (zone, kind));
            let (address, since, group) = (Address::read(entry.address), entry.since_ms, entry.group);
            let mut status = entry.endpoint_status();
            let name = entry.name.as_bytes();
            let endpoint = match self.endpoint_names.get(name) {
                None if status == EndpointStatus::Removed => continue,
                None => self.endpoint_names.intern(name.into()),
                Some(endpoint) => endpoint,
            };
            let incarnation = self.next_incarnation;
            let zone_in_journal = if zone < self.names.zones_in_journal { zone as u16 } else { UNKNOWN_ZONE };
            let new = EndpointState {
                incarnation,
                address,
                since,
                zone: zone_in_journal,
                destination: group,
                kind: kind as u32,
                ready: false,
            };
            match self.endpoints.get_mut(endpoint) {
                None => self.endpoints.push(new),
                Some(old) if old.incarnation == 0 => *old = new,
                // The name has moved to another destination: mails for the old one must not go there.
                Some(old) if old.destination != group => status = EndpointStatus::Removed,
                // Moved or restarted: open connections lead nowhere.
                Some(old) if old.address != new.address || old.since != since => {
                    (old.address, old.since) = (new.address, since);
                    let left = std::mem::replace(&mut old.incarnation, incarnation);
                    let _ = self.orders.send(Order::CloseIdle(left));
                }
                Some(_) => {}
            }
            self.next_incarnation += 1;
            let state = &mut self.endpoints[endpoint];
            state.ready = status == EndpointStatus::Ready;
            let group = state.destination;
            self.inputs.push(Input::ListEntry(ListEntry {
                endpoint,
                destination: self.destinations.intern(group),
                zone,
                kind,
                status,
                rate: entry.weight,
            }));
        }
        self.inputs.push(Input::ListEnd);
        self.notify.notify_one();
    }

    /// Until when the last byte of a mail's call may be sent. A repeat must arrive while its key is still
    /// known, counted from the first connect that may have run, also across a wait for a connection or a
    /// restart.
    fn send_deadline(&self, owed: &OwedMail) -> Time {
        let class = &self.classes.classes[usize::from(owed.class)];
        match (owed.first_run, class.effect) {
            (None, _) | (_, Effect::Redeliverable) => Time::MAX,
            (Some((sent, _)), Effect::Tagged) => sent.saturating_add(class.dedup_window),
            (Some(_), Effect::OnceOnly) => 0,
        }
    }

    /// Called just before the first byte of a call is sent. Returns the mails that are still to be sent, with
    /// their connects recorded in the journal; none if the endpoint has moved, is draining or is to be left
    /// alone by now.
    pub fn begin(&mut self, call: &Call, mails: Vec<CallMail>) -> Vec<CallMail> {
        let now = self.clock.now();
        let (endpoint, unit) = (call.endpoint, self.unit(call.endpoint));
        // Inputs that the decision module has not read yet count too.
        let may = !self.stopped
            && !self.paused_units.contains(&unit)
            && self.endpoints[endpoint].ready
            && self.is_current(call)
            && self.control.may_call(endpoint, now);
        let sent: Sent = (now, self.endpoints[endpoint].zone);
        let (mut beginning, mut unsent) = (Vec::with_capacity(mails.len()), Vec::new());
        for carried in mails {
            let serial = carried.serial;
            let owed = self.owed.contains_key(&serial);
            // A mail may have expired while its call waited for a connection.
            let in_time = now < carried.times_out_at.min(carried.send_before);
            if may && owed && in_time && self.append_record(&Record::ConnectStarted { serial, sent }) {
                let owed = self.owed.get_mut(&serial);
                owed.into_iter().for_each(|owed| {
                    owed.in_flight = Some(sent);
                    owed.connects = owed.connects.saturating_add(1);
                });
                let flight =
                    self.mail_serials.get(&serial).and_then(|mail| self.connects_out.get_mut(mail)?.as_mut());
                let begun = flight.map(|flight| std::mem::replace(&mut flight.begun, true));
                must!(
                    self.counts.broken,
                    begun == Some(false),
                    "a call begins with a connect that is not out"
                );
                self.take_step(serial, Step::CallBegins, &endpoint);
                beginning.push(carried);
            } else {
                unsent.push(serial);
            }
        }
        unsent.into_iter().for_each(|serial| self.connect_ended(serial, ConnectReport::of(Outcome::Unsent)));
        let early = !beginning.is_empty()
            && (self.tally.is_held(unit, now) || self.control.is_on_hold(endpoint, now));
        must!(self.counts.broken, !early, "a call begins before a told wait is over");
        beginning
    }

    /// Whether the endpoint of a call has neither moved nor restarted since the call was decided on.
    pub fn is_current(&self, call: &Call) -> bool {
        self.endpoints[call.endpoint].incarnation == call.incarnation
    }

    /// Takes the outcome of one mail's connect.
    pub fn connect_ended(&mut self, serial: u64, report: ConnectReport) {
        self.end_connect(serial, report, None);
    }

    /// Ends a connect; with a claim, its outcome is provisional.
    fn end_connect(&mut self, serial: u64, report: ConnectReport, claim: Option<Claim>) {
        let now = self.clock.now();
        let mail = self.mail_serials.get(&serial);
        let started = mail.and_then(|mail| self.connects_out.get_mut(mail)?.take());
        let (Some(mail), Some(PendingConnect { endpoint, requested_at: started, .. })) = (mail, started)
        else {
            must!(self.counts.broken, false, "an outcome came for a connect that is not out");
            return;
        };
        let ConnectReport { outcome, finished, retry_after, load, reused_connection } = report;
        self.tally.connects_ended += 1;
        log::debug!(
            "message {}, mail {serial}: {outcome:?} after {} ms, retry after {retry_after:?}",
            self.owed.get(&serial).map(|owed| String::from_utf8_lossy(&owed.id)).unwrap_or_default(),
            now.saturating_sub(started) / 10
        );
        if retry_after > Duration::ZERO {
            let unit = self.unit(endpoint);
            self.paused_units.push(unit);
            self.tally.hold(unit, now + to_time(retry_after));
        }
        self.counts.relayed += u64::from(outcome == Outcome::Relayed);
        let (ran, rests) = (!outcome.never_ran(), outcome.may_still_run());
        if let Some(claim) = claim {
            self.detach(serial, claim);
        } else if finished {
            self.finish(serial, Step::Answered, &format_args!("{outcome:?}"));
        } else if let Some(owed) = self.owed.get_mut(&serial) {
            let sent = owed.in_flight.take();
            if sent.is_some() {
                owed.first_run = owed.first_run.or(sent.filter(|_| ran));
                if rests && !owed.order_key.is_empty() {
                    self.keys_in_flight.push((owed.order_key.clone(), now));
                }
                self.append_record(&Record::ConnectEnded {
                    serial,
                    may_have_run: ran,
                    may_still_run: rests,
                    is_last: false,
                    at: now,
                });
                self.take_step(serial, Step::CallFails, &format_args!("{outcome:?}"));
            }
        }
        let report = load.and_then(|load| self.names.report(&load));
        let took = now.saturating_sub(started);
        self.inputs.push(Input::ConnectResult(ConnectResult {
            mail,
            outcome,
            finished: finished || claim.is_some(),
            retry_after: to_time(retry_after),
            duration: took,
            reused_connection,
            limit_report: report,
        }));
        self.notify.notify_one();
    }

    /// Gives the decision module one turn and carries out its actions.
    pub fn turn(&mut self) {
        if self.turns_held {
            return;
        }
        let now = self.clock.now();
        if self.last_turn == 0 {
            // The pace of restored mails starts with the first turn.
            let together = self.batch_limits.iter().copied().max().unwrap_or(1);
            self.backlog.set_pace(
                now,
                backlog::Pace { mails_per_second: 0.0, max_duration: SUBMITTED_WITHIN, batch: together },
            );
        }
        self.last_turn = now;
        self.submit_backlog(now);
        self.revoke_expired(now);
        self.resubmit();
        self.record_ends(now);
        // A list is on file before it is in force: after a kill the next process goes by the file while discovery is silent.
        self.keeper.save(now);
        self.counts.list_saves_failed = self.keeper.failures();
        let mut actions = std::mem::take(&mut self.actions);
        self.wake = self.control.step(now, &self.inputs, &mut actions);
        self.inputs.clear();
        // A long list may have grown it.
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
                    self.tally.held_until.remove(&audit::LimitScope::Endpoint(endpoint));
                    let _ = self.orders.send(Order::CloseIdle(left));
                    self.endpoint_names.release(endpoint);
                }
                // The list is always watched.
                Action::RequestList => {}
                Action::SendNote { endpoint, note } => {
                    if let (Some(sender), Some(name)) = (&self.notes, self.endpoint_names.id(endpoint)) {
                        self.counts.told += 1;
                        let _ = sender.send((Bytes::copy_from_slice(name), note));
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
        if self.list_version != std::mem::replace(&mut self.list_in_force, self.list_version) {
            log::trace!(target: IN_FORCE, "list {} is in force", self.list_version);
        }
        self.turns += 1;
        if cfg!(debug_assertions) || self.turns.is_multiple_of(audit::INTERVAL_TURNS) {
            for fault in self.audit() {
                must!(self.counts.broken, false, "the audit found: {fault}");
            }
        }
    }

    /// The unit of limits and waits that an endpoint belongs to.
    fn unit(&self, endpoint: usize) -> audit::LimitScope {
        let state = &self.endpoints[endpoint];
        match self.per_endpoint_limits.get((state.kind as usize).min(self.per_endpoint_limits.len() - 1)) {
            Some(true) => audit::LimitScope::Endpoint(endpoint),
            _ => audit::LimitScope::Destination(state.destination),
        }
    }

    /// Checks the invariants between two turns and describes each violation.
    pub fn audit(&self) -> Vec<String> {
        audit::find_faults(&AuditedState {
            control: &self.control,
            owed: &self.owed,
            ids: &self.ids,
            unfinished: self.open_mails,
            is_provisional: &|serial| self.provisional.contains(serial),
            lifecycle: &self.lifecycle,
            pending: &self.connects_out,
            mail_indices: &self.mail_serials,
            destination_of: &|endpoint| self.endpoints[endpoint].destination,
            journal_bytes: self.journal.owed_bytes(),
            accepted: self.counts.taken,
            list_version: self.list_version,
            older_lists: self.counts.older,
            counters: &self.tally,
        })
    }

    /// Corrupts one count or table, so that a test can show that the audit detects it; false if there is
    /// nothing to corrupt.
    #[cfg(any(debug_assertions, feature = "spoil"))]
    pub fn spoil(&mut self, what: &str) -> bool {
        let flight = self.connects_out.iter().position(|flight| flight.is_some_and(|flight| flight.begun));
        let first = self.owed.keys().next().copied();
        match (what, flight, first) {
            ("taken", ..) => self.counts.taken += 1,
            ("ended", ..) => self.tally.settled += 1,
            ("open mails", ..) => self.open_mails += 1,
            ("an id", _, Some(first)) => {
                let id = self.owed[&first].id.clone();
                self.ids.insert(id, first + 1);
            }
            ("one id more", ..) => drop(self.ids.insert(Bytes::from_static(b"none"), 0)),
            ("bytes on file", ..) => self.journal.release(1),
            ("an index of a mail", ..) => drop(self.mail_serials.intern(u64::MAX)),
            ("an outcome", ..) => self.tally.connects_ended += 1,
            ("a connect lost", Some(mail), _) => self.connects_out[mail] = None,
            ("a record lost", Some(mail), _) => {
                let serial = self.connects_out[mail].map_or(0, |flight| flight.serial);
                self.owed.get_mut(&serial).into_iter().for_each(|owed| owed.in_flight = None);
            }
            ("a record too many", _, Some(_)) => {
                let parked = self.owed.values_mut().find(|owed| owed.in_flight.is_none());
                parked.into_iter().for_each(|owed| owed.in_flight = Some((1, 0)));
            }
            ("an endpoint", Some(mail), _) => {
                let other = |e: usize| if e == 0 { 1 } else { 0 };
                let flight = self.connects_out[mail].as_mut();
                flight.into_iter().for_each(|flight| flight.endpoint = other(flight.endpoint));
            }
            ("a group", Some(mail), _) => {
                let endpoint = self.connects_out[mail].map_or(0, |flight| flight.endpoint);
                self.endpoints[endpoint].destination += 1;
            }
            ("a mail twice", Some(mail), _) => {
                let copy = self.connects_out[mail];
                self.connects_out.push(copy);
            }
            ("two calls made one", Some(_), _) => {
                self.connects_out.iter_mut().flatten().for_each(|flight| flight.call = 0);
            }
            ("a version", ..) => self.list_version -= 1,
            ("an older list", ..) => self.counts.older += 1,
            ("a told wait", Some(mail), _) => {
                let endpoint = self.connects_out[mail].map_or(0, |flight| flight.endpoint);
                self.tally.hold(self.unit(endpoint), Time::MAX);
            }
            _ => return self.control.corrupt(what),
        }
        true
    }

    /// Describes each difference between the mails in hand and those in the journal.
    pub fn audit_file(&self, found: &JournalContents) -> Vec<String> {
        audit::find_file_faults(&self.owed, found)
    }

    /// Adds a connect to this turn's call in the same slot, or starts a new call if that one is full.
    fn add_connect(
        &mut self,
        calls: &mut Vec<Call>,
        mail: usize,
        endpoint: usize,
        times_out_at: Time,
        new_connection: bool,
    ) {
        let serial = self.mail_serials.id(mail).copied();
        let Some((serial, owed)) = serial.and_then(|serial| Some((serial, self.owed.get(&serial)?))) else {
            must!(self.counts.broken, false, "connect requested for an unknown mail");
            return;
        };
        if mail >= self.connects_out.len() {
            self.connects_out.resize(mail + 1, None);
        }
        must!(self.counts.broken, self.connects_out[mail].is_none(), "a mail has two connects in flight");
        self.tally.connects_started += 1;
        log::debug!(
            "mail {serial} for destination {}: connect to endpoint {endpoint}, timeout {}",
            owed.destination,
            times_out_at - self.last_turn
        );
        let carried = CallMail {
            serial,
            id: owed.id.clone(),
            key: owed.key.clone(),
            body: owed.body.clone(),
            times_out_at,
            deadline: owed.deadline,
            send_before: self.send_deadline(owed),
        };
        let state = &self.endpoints[endpoint];
        let max_batch = self.batch_limits[(state.kind as usize).min(self.batch_limits.len() - 1)];
        let size = http::size_in_batch(&carried.id, &carried.key, &carried.body);
        let fits = |c: &Call| c.mails.len() < max_batch && c.size + size <= http::MAX_BODY;
        // Two calls of the decision module must not be merged: a probe would carry several mails.
        let slot = self.control.call_of(mail).map_or(usize::MAX, |(slot, _)| slot);
        let at = calls.iter().position(|c| c.slot == slot && fits(c)).unwrap_or(calls.len());
        match calls.get_mut(at) {
            Some(call) => {
                call.mails.push(carried);
                call.size += size;
                call.new_connection |= new_connection;
            }
            None => {
                let (incarnation, address, mails) = (state.incarnation, state.address.get(), vec![carried]);
                calls.push(Call { endpoint, slot, incarnation, address, new_connection, mails, size });
            }
        }
        let call = self.counts.calls + at as u64;
        self.connects_out[mail] =
            Some(PendingConnect { serial, endpoint, call, requested_at: self.last_turn, begun: false });
    }

    /// When the next turn is due.
    fn next_turn(&self) -> Option<Instant> {
        // The first turn is requested by notification and may be held back, so restored mails do not make it
        // due.
        let owed = self.backlog.wake().filter(|_| self.last_turn > 0);
        let unrecorded = self.unrecorded.next_attempt(self.last_turn);
        // While turns are held back nothing is saved.
        let unsaved = self.keeper.next_attempt().filter(|_| !self.turns_held);
        [self.wake, owed, unrecorded, unsaved, self.provisional.next_deadline()]
            .into_iter()
            .flatten()
            .min()
            .map(|at| self.clock.instant(at))
    }

    /// The earliest time of the next turn, by the timer resolution of the settings.
    fn earliest_turn(&self) -> Time {
        self.last_turn + self.timer_resolution
    }

    /// Holds back all turns, and so all calls, until `release`; mails are accepted meanwhile.
    pub fn hold(&mut self) {
        self.turns_held = true;
    }

    pub fn release(&mut self) {
        if std::mem::take(&mut self.turns_held) {
            self.notify.notify_one();
        }
    }

    /// Announces the shutdown: calls may begin for `calls_for`, and those of the next process begin no sooner
    /// than `next_after` from now.
    pub fn begin_shutdown(&mut self, calls_for: Duration, next_after: Duration) {
        let now = self.clock.now();
        let shutdown =
            Shutdown { calls_until: now + to_time(calls_for), successor_from: now + to_time(next_after) };
        self.next_process_from = shutdown.successor_from;
        self.inputs.push(Input::Shutdown(shutdown));
        self.notify.notify_one();
    }

    /// Lets no further call begin, after a turn in which the mails that can no longer be tried are handed back. The turns
    /// go on, so that what fails from now on is handed back too if it expires before the next process begins its calls.
    pub fn stop(&mut self) {
        self.turn();
        self.stopped = true;
    }

    /// Waits no longer for the outcomes of mails that expire before the next process begins its calls.
    pub fn expire_before_next_process(&mut self) {
        self.revoke_before(self.next_process_from, RevokeReason::Shutdown);
        self.unrecorded.tell_before(self.next_process_from);
        let _ = self.orders.send(Order::ExpireBefore(self.next_process_from));
    }

    /// Number of connects in flight, of outcomes that the decision module has not read, of mails whose last outcome is
    /// provisional, and of mails that were given up and whose notice is not acknowledged.
    pub fn unfinished(&self) -> usize {
        let given_up = self.owed.values().filter(|owed| owed.verdict.is_some()).count();
        self.in_flight() + self.inputs.len() + self.provisional.len() + given_up
    }

    /// Number of unfinished mails, including those with an unacknowledged notice.
    pub fn in_hand(&self) -> usize {
        self.owed.len()
    }

    /// Number of connects in flight.
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

/// Gives the decision module its turns, on new inputs and when it asked for one, but no closer together than
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

//! Makes the calls to endpoints, one task per call, on the connections of `pool`. It takes no decisions: the exchange says
//! where a call goes and how long it may take, and gets back what was observed.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use meadowhold::interface::{Outcome, Time};
use meadowhold::response_order::{Attribution, Claim, Held, NamedMessages};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Notify;
use tokio::time::error::Elapsed;
use tokio::time::{timeout_at, Interval, MissedTickBehavior};

use crate::exchange::{
    to_duration, to_time, Call, CallMail, Clock, ConnectReport, Order, RevokeReason, Shared,
};
use crate::http::{self, Head};
use crate::link::{HttpConnection, SendError};
use crate::pool::{CloseReason, Connection, Pool};
use crate::system_errors;

pub mod answer;
mod expiry;
mod watch;

use answer::{read_answer, report_with_head, Answer, AnswerBody, AnswerMemory, Meaning, MAX_ANSWER};
use expiry::{Expiry, ExpirySender};

/// How often a call that waits for room looks whether a connection has rested long enough meanwhile.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub connect_timeout: Duration,
    /// Endpoints close a connection that has been idle for this long, as the settings say at the start.
    pub idle_timeout: Duration,
    pub max_connections: usize,
    /// Whether a mail may have two connects in flight at once.
    pub may_overlap: bool,
    /// Bytes that bodies of answers may take while they are read.
    pub answer_memory: u64,
}

struct Endpoints {
    shared: Shared,
    clock: Clock,
    limits: Cell<Limits>,
    pool: RefCell<Pool>,
    answer_memory: AnswerMemory,
    /// Notified when a connection was closed or became idle, so that it can be closed.
    freed: Notify,
    /// Mails with earlier deadlines are not waited for.
    expire_before: ExpirySender,
}

/// The place of a connection that is being opened. It is given back if no connection comes of it, also when all messages
/// of the call expire meanwhile.
struct Reservation<'a> {
    endpoints: &'a Endpoints,
    used: bool,
}

impl<'a> Reservation<'a> {
    fn new(endpoints: &'a Endpoints) -> Reservation<'a> {
        endpoints.pool.borrow_mut().reserve();
        Reservation { endpoints, used: false }
    }

    fn opened(mut self, call: &Call, link: HttpConnection) -> Connection {
        self.used = true;
        self.endpoints.pool.borrow_mut().opened(call.endpoint, call.incarnation, link)
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        if !self.used {
            self.endpoints.pool.borrow_mut().not_opened();
            self.endpoints.freed.notify_one();
        }
    }
}

pub async fn run(shared: Shared, mut orders: UnboundedReceiver<Order>, limits: Limits) {
    let clock = shared.borrow().clock;
    let endpoints = Endpoints {
        shared,
        clock,
        limits: Cell::new(limits),
        pool: RefCell::new(Pool::new(limits.idle_timeout)),
        answer_memory: AnswerMemory::new(limits.answer_memory),
        freed: Notify::new(),
        expire_before: ExpirySender::new(0),
    };
    let endpoints = Rc::new(endpoints);
    let mut sweep = sweep_timer(limits.idle_timeout);
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                Some(Order::Call(call)) => {
                    tokio::task::spawn_local(endpoints.clone().call(call));
                }
                Some(Order::CloseIdle(incarnation)) => {
                    endpoints.pool.borrow_mut().close_idle(incarnation);
                    endpoints.handle_released();
                }
                Some(Order::SetTimeouts { connect_timeout, idle_timeout }) => {
                    sweep = sweep_timer(idle_timeout);
                    endpoints.pool.borrow_mut().idle_timeout = idle_timeout;
                    endpoints.limits.set(Limits { connect_timeout, ..endpoints.limits.get() });
                }
                Some(Order::ExpireBefore(end)) => drop(endpoints.expire_before.send_replace(end)),
                None => return,
            },
            _ = sweep.tick() => {
                endpoints.pool.borrow_mut().sweep();
                endpoints.handle_released();
            }
        }
    }
}

/// Ticks at half of the margin by which idle connections are closed before the endpoint closes them.
fn sweep_timer(idle: Duration) -> Interval {
    let mut sweep = tokio::time::interval((idle / 40).max(Duration::from_millis(5)));
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    sweep
}

impl Endpoints {
    /// Wakes calls that wait for a connection, revokes what can no longer be confirmed, and passes the counts on.
    fn handle_released(&self) {
        let released = self.pool.borrow_mut().take_released();
        (0..released.connections).for_each(|_| self.freed.notify_one());
        let mut exchange = self.shared.borrow_mut();
        for delay in released.surplus_delays {
            exchange.note_surplus_answer(delay);
        }
        for (message, reason) in released.revoked {
            exchange.revoke(message, RevokeReason::Closed(reason));
        }
        exchange.counts.connections = self.pool.borrow().counts;
    }

    fn close(&self, connection: Connection, reason: CloseReason) {
        self.pool.borrow_mut().close(connection, reason);
        self.handle_released();
    }

    /// Keeps a connection for later calls, unless the endpoint has moved or restarted while the call was in
    /// flight: its old address may belong to another process by now.
    fn return_idle(self: &Rc<Self>, call: &Call, connection: Connection) {
        let is_current = self.shared.borrow().is_current(call);
        if is_current || !connection.order.is_in_step() {
            self.keep(connection, is_current);
        } else {
            self.close(connection, CloseReason::EndpointChanged);
        }
    }

    /// Takes an idle connection for a call: one that has rested as is preferred, or as is required if there may be no further
    /// connection.
    fn take_idle(&self, call: &Call) -> Option<Connection> {
        if call.new_connection {
            return None;
        }
        let rest = self.shared.borrow().rest_between_calls();
        let now = self.clock.now();
        let mut pool = self.pool.borrow_mut();
        let mut connection = pool.take(call.incarnation, now, to_duration(rest.preferred));
        if connection.is_none() && !pool.has_room(self.limits.get().max_connections) {
            connection = pool.take(call.incarnation, now, to_duration(rest.required));
        }
        drop(pool);
        self.handle_released();
        connection
    }

    fn make_room(&self) -> bool {
        let has_room = self.pool.borrow_mut().make_room(self.limits.get().max_connections);
        self.handle_released();
        has_room
    }

    async fn connection(&self, call: &Call, call_until: Instant) -> Result<Connection, Outcome> {
        loop {
            if let Some(connection) = self.take_idle(call) {
                return Ok(connection);
            }
            if self.make_room() {
                break;
            }
            if self.confirm_rested() {
                continue;
            }
            // Waits for a free descriptor. A shortage on this side must not count as a failure of the
            // endpoint or use up connects of the mails.
            let until = Instant::now() + ROOM_CHECK_INTERVAL;
            let freed = timeout_at(until.into(), self.freed.notified()).await;
            if freed.is_err() && Instant::now() >= call_until {
                return Err(Outcome::Unsent);
            }
        }
        let address = call.address.ok_or(Outcome::Unreached)?;
        let reservation = Reservation::new(self);
        let started = Instant::now();
        let until = call_until.min(started + self.limits.get().connect_timeout);
        let failed = match timeout_at(until.into(), HttpConnection::open(address)).await {
            Ok(Ok(link)) => {
                let connection = reservation.opened(call, link);
                log::debug!(
                    "connection {} to endpoint {} is open after {} ms",
                    connection.number,
                    call.endpoint,
                    started.elapsed().as_millis()
                );
                return Ok(connection);
            }
            Ok(Err(e)) => e,
            Err(_) => io::ErrorKind::TimedOut.into(),
        };
        log::debug!("no connection to endpoint {}: {failed}", call.endpoint);
        // A shortage on this side does not make the endpoint unreachable.
        Err(if system_errors::is_local(&failed) { Outcome::Unsent } else { Outcome::Unreached })
    }

    async fn call(self: Rc<Self>, mut call: Call) {
        let last_timeout = call.mails.iter().map(|mail| mail.times_out_at).max().unwrap_or_default();
        if !self.limits.get().may_overlap {
            // Mails must not overlap: one that times out may be sent again only once this call is closed, so
            // all time out together.
            call.mails.iter_mut().for_each(|mail| mail.times_out_at = last_timeout.min(mail.deadline));
        }
        let until = self.clock.instant(last_timeout);
        let mut mails = std::mem::take(&mut call.mails);
        let Some(connection) = self.expire_until_ready(&mut mails, self.connection(&call, until)).await
        else {
            return;
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(outcome) => return self.report_outcome(&mails, &ConnectReport::of(outcome)),
        };
        let mut mails = self.shared.borrow_mut().begin(&call, mails);
        if mails.is_empty() {
            return self.return_idle(&call, connection);
        }
        let request = self.request(&call, &mails, until);
        self.log_call(&call, &connection, &mails);
        let reused = connection.is_reused();
        connection.calls += 1;
        // Until the last byte is written nothing can have run. The write must be over before any mail of the
        // call expires and before the endpoint may forget its key: after that the mail must not run.
        let first_end =
            mails.iter().map(|mail| mail.deadline.min(mail.send_before)).min().unwrap_or(last_timeout);
        let written_by = until.min(self.clock.instant(first_end));
        let written = timeout_at(written_by.into(), connection.link.send(&request)).await;
        if let Some((outcome, reason)) = write_failure(written, reused) {
            self.report_outcome(&mails, &ConnectReport::of(outcome));
            return self.close_ended(connection, reason);
        }
        let is_batch = mails.len() > 1;
        let reading = read_answer(&mut connection.link, is_batch, &self.answer_memory);
        let answer = self.wait_for_answer(&mut mails, reading).await;
        // An answer that comes after a mail of the call has expired may belong to that mail, so it does not
        // count for the others.
        let now = self.clock.now();
        let spans_expiry = mails.iter().any(|mail| mail.deadline <= now);
        match answer {
            None => self.close(connection, CloseReason::NoAnswer),
            Some(Answer::Read(head, _)) if spans_expiry => {
                self.report_outcome(&mails, &report_with_head(Outcome::Spoilt, false, &head));
                self.close(connection, CloseReason::AnswerTooLate);
            }
            Some(Answer::Unread(Outcome::Relayed)) if spans_expiry => {
                self.report_outcome(&mails, &ConnectReport::of(Outcome::Spoilt));
                self.close(connection, CloseReason::AnswerTooLate);
            }
            Some(Answer::Read(head, body)) => self.take_answer(&call, connection, &mails, &head, body).await,
            // Half a copy of an earlier answer has a status line too.
            Some(Answer::Unread(Outcome::Relayed)) if connection.order.has_answered() => {
                self.report_outcome(&mails, &ConnectReport::of(Outcome::Spoilt));
                self.close(connection, CloseReason::AnswerUnreadable);
            }
            // Any bytes left on the connection belong to no call.
            Some(Answer::Unread(outcome)) => {
                let report = ConnectReport { reused_connection: reused, ..ConnectReport::of(outcome) };
                self.report_outcome(&mails, &report);
                if outcome == Outcome::Broken {
                    self.close_ended(connection, CloseReason::Broken);
                } else {
                    self.close(connection, CloseReason::AnswerUnreadable);
                }
            }
        }
    }

    /// Reports what an answer says, as far as it belongs to this call, and keeps or closes the connection.
    async fn take_answer(
        self: &Rc<Self>,
        call: &Call,
        mut connection: Connection,
        mails: &[CallMail],
        head: &Head,
        body: AnswerBody,
    ) {
        let reused = connection.calls > 1;
        let text = match &body {
            AnswerBody::Read(body) => Some(&body.bytes[..]),
            AnswerBody::NotRead | AnswerBody::Skipped => None,
        };
        let meaning = Meaning::of(mails, head, text, reused);
        let is_read = !matches!(body, AnswerBody::NotRead);
        drop(body);
        let attribution = connection.order.attribute(meaning.traits);
        if attribution == Attribution::Foreign {
            self.report_outcome(mails, &ConnectReport::of(Outcome::Spoilt));
            return self.close(connection, CloseReason::ForeignAnswer);
        }
        if meaning.traits.names == NamedMessages::Own {
            // As many answers as calls, and the last one is its own: all before it were.
            self.shared.borrow_mut().confirm_all(connection.order.take_all());
        }
        let may_still_run = self.report_attributed(&mut connection, mails, meaning, attribution);
        if may_still_run && !self.limits.get().may_overlap {
            return self.close(connection, CloseReason::CallMayBeOut);
        }
        let complete = is_read || connection.link.skip_body(head.body, MAX_ANSWER).await.is_ok();
        match (head.keep_alive, complete) {
            (true, true) => self.return_idle(call, connection),
            (false, true) if connection.order.is_in_step() => {
                self.close(connection, CloseReason::AnswerCloses)
            }
            (false, true) => self.keep(connection, false),
            (_, false) => self.close(connection, CloseReason::AnswerUnreadable),
        }
    }

    /// Reports the outcome of each mail: as final, or as provisional if the answer may be another call's and believing it
    /// could lose the mail or have it run twice. Returns whether a mail may be called again now though its own call may still
    /// be out on the connection.
    fn report_attributed(
        &self,
        connection: &mut Connection,
        mails: &[CallMail],
        meaning: Meaning,
        attribution: Attribution,
    ) -> bool {
        let mut may_still_run = false;
        let now = self.clock.now();
        let rested = to_time(connection.rested);
        let mut exchange = self.shared.borrow_mut();
        let periods = exchange.quiet_periods(connection.endpoint);
        if let Some(quiet_period) = attribution.quiet_period(meaning.claim, periods) {
            let held = Held {
                message: None,
                claim: meaning.claim,
                quiet_period,
                min_quiet_period: periods.short,
                deadline: Time::MAX,
                may_repeat: false,
                rested,
            };
            connection.order.hold(now, held);
        }
        for (mail, report) in mails.iter().zip(meaning.reports) {
            let quiet = attribution.quiet_period(report.claim(), periods);
            if mail.times_out_at == 0 {
                // It was reported as timed out and may be in flight again: only its end is news.
                match report.claim() {
                    Some(Claim::Delivered | Claim::Over) if quiet.is_none() => {
                        exchange.relayed_late(mail.serial);
                    }
                    Some(Claim::Over) => exchange.over_late(mail.serial),
                    _ => {}
                }
                continue;
            }
            match quiet.and_then(|quiet| Some((quiet, exchange.claim_to_hold(mail.serial, &report)?))) {
                Some((_, claim)) if !exchange.is_provable_by_silence(mail.serial, attribution, claim) => {
                    exchange.connect_ended_ambiguously(mail.serial, report, claim);
                    may_still_run = true;
                }
                Some((quiet_period, claim)) => {
                    exchange.connect_ended_provisionally(mail.serial, report, claim);
                    let held = Held {
                        message: Some(mail.serial),
                        claim: Some(claim),
                        quiet_period,
                        min_quiet_period: periods.short,
                        deadline: mail.deadline,
                        may_repeat: exchange.may_repeat(mail.serial),
                        rested,
                    };
                    connection.order.hold(now, held);
                }
                None => {
                    may_still_run |= quiet.is_some() && !report.finished;
                    exchange.connect_ended(mail.serial, report);
                }
            }
        }
        may_still_run
    }

    fn log_call(&self, call: &Call, connection: &Connection, mails: &[CallMail]) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let ids: Vec<_> = mails.iter().map(|mail| String::from_utf8_lossy(&mail.id)).collect();
        log::debug!(
            "connection {} to endpoint {} carries call {} with messages {}",
            connection.number,
            call.endpoint,
            connection.calls + 1,
            ids.join(", ")
        );
    }

    fn request(&self, call: &Call, mails: &[CallMail], until: Instant) -> BytesMut {
        let mails: Vec<http::Mail> = mails.iter().map(as_sent).collect();
        let host = call.address.map(|address| address.to_string()).unwrap_or_default();
        let wait = until.saturating_duration_since(Instant::now());
        let mut out = BytesMut::new();
        match mails.as_slice() {
            [mail] => http::write_hook(&mut out, &host, mail, wait),
            mails => http::write_hook_batch(&mut out, &host, mails, wait),
        }
        out
    }

    /// Waits until a call can begin and reports each mail that expires before that, so that an expired mail
    /// does not wait for the connection of those with more time. Returns `None` once all mails have expired.
    async fn expire_until_ready<T>(
        &self,
        mails: &mut Vec<CallMail>,
        ready: impl Future<Output = T>,
    ) -> Option<T> {
        let mut ready = std::pin::pin!(ready);
        let mut expiry = Expiry::new(&self.expire_before);
        loop {
            let next = mails.iter().map(|mail| mail.deadline).min()?;
            tokio::select! {
                biased;
                ready = &mut ready => return Some(ready),
                () = expiry.wait(next, self.clock.instant(next)) => {}
            }
            let (expired, remaining) =
                std::mem::take(mails).into_iter().partition(|mail| expiry.is_over(mail, mail.deadline));
            *mails = remaining;
            self.report_outcome(&expired, &ConnectReport::of(Outcome::Unsent));
        }
    }

    /// Waits for an answer and reports each mail that times out before it. Returns `None` once all mails have
    /// timed out; the connection is to be closed then.
    async fn wait_for_answer<T>(&self, mails: &mut [CallMail], answer: impl Future<Output = T>) -> Option<T> {
        let mut answer = std::pin::pin!(answer);
        let mut expiry = Expiry::new(&self.expire_before);
        loop {
            let next: Time =
                mails.iter().filter(|mail| mail.times_out_at > 0).map(|mail| mail.times_out_at).min()?;
            tokio::select! {
                biased;
                answer = &mut answer => return Some(answer),
                () = expiry.wait(next, self.clock.instant(next)) => {}
            }
            for mail in mails.iter_mut().filter(|mail| mail.times_out_at > 0) {
                if expiry.is_over(mail, mail.times_out_at) {
                    mail.times_out_at = 0; // reported
                    let report = ConnectReport::of(Outcome::Silent);
                    self.shared.borrow_mut().connect_ended(mail.serial, report);
                }
            }
        }
    }

    /// Reports the outcome of each mail. A mail that was reported as timed out gets no second outcome, since
    /// it may be in flight again; only that it was relayed after all is passed on.
    fn report_outcome(&self, mails: &[CallMail], report: &ConnectReport) {
        let mut exchange = self.shared.borrow_mut();
        for mail in mails {
            if mail.times_out_at > 0 {
                exchange.connect_ended(mail.serial, report.clone());
            } else if report.finished {
                exchange.relayed_late(mail.serial);
            }
        }
    }
}

/// What follows from a request that was not written to its end: it has not run. `None` if it was written.
fn write_failure(
    written: Result<Result<(), SendError>, Elapsed>,
    reused: bool,
) -> Option<(Outcome, CloseReason)> {
    match written {
        Ok(Ok(())) => None,
        // A foreign answer on a kept connection says nothing of the endpoint. On a new one it is turned away.
        Ok(Err(SendError::EarlyBytes)) if reused => Some((Outcome::Unsent, CloseReason::UnsolicitedBytes)),
        Ok(Err(SendError::EarlyBytes)) => Some((Outcome::Unreached, CloseReason::UnsolicitedBytes)),
        Ok(Err(SendError::Broken(_))) | Err(_) => Some((Outcome::Unreached, CloseReason::WriteFailed)),
    }
}

/// Ids and keys are ASCII: this was checked when the mail was submitted.
fn as_sent(mail: &CallMail) -> http::Mail<'_> {
    let text = |bytes| std::str::from_utf8(bytes).unwrap_or_default();
    http::Mail { id: text(&mail.id), key: text(&mail.key), body: &mail.body }
}

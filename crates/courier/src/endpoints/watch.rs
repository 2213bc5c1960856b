//! Idle connections with provisional outcomes: waits until these are final, or until something comes that revokes them.

use std::rc::Rc;

use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::answer::MAX_ANSWER;
use super::Endpoints;
use crate::exchange::{to_duration, RevokeReason};
use crate::link::{wait_for_bytes, HttpConnection, Rest};
use crate::pool::{CloseReason, Connection};

/// An endpoint that sends more answers than this, although no call is out, is not believed.
const MAX_SURPLUS_ANSWERS: usize = 16;

impl Endpoints {
    /// Keeps a connection after a call, and watches it. `is_kept`: it may carry further calls.
    pub(super) fn keep(self: &Rc<Self>, connection: Connection, is_kept: bool) {
        let (incarnation, number) = (connection.incarnation, connection.number);
        let watcher = tokio::task::spawn_local(self.clone().watch(incarnation, number)).abort_handle();
        self.pool.borrow_mut().keep(connection, is_kept, watcher);
        self.freed.notify_one();
    }

    /// Watches an idle connection: what comes on it, and when its outcomes are final. Ended when a call takes it.
    async fn watch(self: Rc<Self>, incarnation: u64, number: u64) {
        while let Some((rest, socket, due)) = self.watched(incarnation, number) {
            // Bytes may have come together with the last answer.
            if rest != Rest::Quiet {
                return self.end_rest(incarnation, number).await;
            }
            let Some(due) = due else {
                wait_for_bytes(&socket).await;
                continue;
            };
            if Instant::now() >= due {
                self.confirm_due(incarnation, number);
                continue;
            }
            tokio::select! {
                () = wait_for_bytes(&socket) => {}
                () = sleep_until(due) => {}
            }
        }
    }

    /// The state of an idle connection, its socket, and when the next of its provisional outcomes is final; `None` if it is
    /// idle no longer.
    fn watched(&self, incarnation: u64, number: u64) -> Option<(Rest, Rc<TcpStream>, Option<Instant>)> {
        let mut pool = self.pool.borrow_mut();
        let connection = pool.watched(incarnation, number)?;
        let due = connection.order.due().map(|due| self.clock.instant(due).into());
        Some((connection.link.rest(), connection.link.socket(), due))
    }

    /// Confirms the outcomes that are final by now, and closes the connection if it was open only for them, or if nothing
    /// more can be learned from it.
    fn confirm_due(&self, incarnation: u64, number: u64) {
        let mut pool = self.pool.borrow_mut();
        let Some(connection) = pool.watched(incarnation, number) else { return };
        let order = &mut connection.order;
        let mut exchange = self.shared.borrow_mut();
        order.retain(|message| exchange.is_held(message));
        let endpoint = connection.endpoint;
        let now = self.clock.now();
        let settled = order.take_final(now, |silence| exchange.is_proof(endpoint, silence));
        let is_called_again = exchange.confirm_all(settled.confirmed);
        let is_doubted = !settled.doubtful.is_empty();
        settled.doubtful.into_iter().for_each(|message| exchange.revoke(message, RevokeReason::Unproven));
        drop(exchange);
        let is_unproven = is_doubted && !order.holds_messages() || order.is_unprovable(now);
        let is_retired = order.is_in_step() && pool.is_retired(incarnation, number);
        // A message that is called again behind silence may have a call out here that takes longer.
        let may_be_out = (is_called_again || is_doubted) && !self.limits.get().may_overlap;
        let reason = match () {
            () if may_be_out => CloseReason::CallMayBeOut,
            () if is_unproven => CloseReason::Unproven,
            () if is_retired => CloseReason::Confirmed,
            () => return,
        };
        let connection = pool.take_watched(incarnation, number);
        drop(pool);
        connection.into_iter().for_each(|connection| self.close(connection, reason));
    }

    /// Confirms, for want of room, the provisional outcomes on connections that have been quiet for the short period. Returns
    /// whether any connection is in step or closed by that.
    pub(super) fn confirm_rested(&self) -> bool {
        let candidates = self.pool.borrow().provisional();
        candidates
            .into_iter()
            .filter(|&(incarnation, number)| self.confirm_early(incarnation, number))
            .count()
            > 0
    }

    fn confirm_early(&self, incarnation: u64, number: u64) -> bool {
        let mut pool = self.pool.borrow_mut();
        let Some(connection) = pool.watched(incarnation, number) else { return false };
        let mut exchange = self.shared.borrow_mut();
        let (now, endpoint) = (self.clock.now(), connection.endpoint);
        let short = exchange.quiet_periods(endpoint).short;
        let is_proof = |silence| exchange.is_proof(endpoint, silence);
        let confirmed = connection.order.take_final_at_close(now, short, is_proof);
        let is_in_step = connection.order.is_in_step();
        let is_called_again = exchange.confirm_all(confirmed);
        drop(exchange);
        let may_be_out = is_called_again && !self.limits.get().may_overlap;
        let is_retired = is_in_step && pool.is_retired(incarnation, number);
        let closed = if may_be_out || is_retired { pool.take_watched(incarnation, number) } else { None };
        drop(pool);
        let reason = if may_be_out { CloseReason::CallMayBeOut } else { CloseReason::Confirmed };
        closed.into_iter().for_each(|connection| self.close(connection, reason));
        is_in_step || may_be_out
    }

    /// Ends the rest of a connection on which bytes have come or which has ended.
    async fn end_rest(&self, incarnation: u64, number: u64) {
        let connection = self.pool.borrow_mut().take_watched(incarnation, number);
        let Some(mut connection) = connection else { return };
        let rest = connection.link.rest();
        if rest == Rest::Bytes {
            let delay = connection.note_surplus_answer();
            let mut exchange = self.shared.borrow_mut();
            delay.into_iter().for_each(|delay| exchange.note_surplus_answer(delay));
        }
        match rest {
            Rest::Bytes if !connection.order.is_in_step() && connection.order.are_all_delivered() => {
                self.listen_out(connection).await
            }
            Rest::Bytes => self.close(connection, CloseReason::UnsolicitedBytes),
            Rest::Quiet | Rest::Ended => self.close_ended(connection, CloseReason::ClosedByEndpoint),
        }
    }

    /// Closes a connection that has ended. Outcomes stay if it had been quiet long enough.
    pub(super) fn close_ended(&self, mut connection: Connection, reason: CloseReason) {
        let mut exchange = self.shared.borrow_mut();
        let periods = exchange.quiet_periods(connection.endpoint);
        let (now, endpoint) = (self.clock.now(), connection.endpoint);
        let is_proof = |silence| exchange.is_proof(endpoint, silence);
        let confirmed = connection.order.take_final_at_close(now, periods.short, is_proof);
        exchange.confirm_all(confirmed);
        drop(exchange);
        self.close(connection, reason);
    }

    /// Reads the answers too many on a connection all of whose outcomes are deliveries. If these answers say the same, it
    /// does not matter which of them belongs to which call.
    async fn listen_out(&self, mut connection: Connection) {
        let periods = self.shared.borrow().quiet_periods(connection.endpoint);
        let until = Instant::now() + to_duration(periods.long);
        let surplus = timeout_at(until, read_surplus_answers(&mut connection.link)).await;
        let is_unchanged = surplus.is_err();
        let mut exchange = self.shared.borrow_mut();
        let is_proof = |silence| exchange.is_proof(connection.endpoint, silence);
        if is_unchanged && connection.order.is_proven(is_proof) {
            exchange.confirm_all(connection.order.take_all());
        }
        drop(exchange);
        self.close(connection, CloseReason::UnsolicitedBytes);
    }
}

/// Reads answers for as long as each of them says that a message was delivered. Returns once one does not, or once there
/// are too many.
async fn read_surplus_answers(link: &mut HttpConnection) {
    for _ in 0..MAX_SURPLUS_ANSWERS {
        let Ok(head) = link.read_head().await else { return };
        let body = link.skip_body(head.body, MAX_ANSWER).await;
        if head.status != 200 || body.is_err() {
            return;
        }
    }
}

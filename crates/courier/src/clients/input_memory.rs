//! Memory for commands that are longer than one read: a fixed number of buffers, each for one command. A connection takes one
//! before it reads on. While none is free, the client that has taken longest over its command is closed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::time::{sleep, Instant};

use super::open_connections::MIN_COMMAND_TIME;
use super::turns::READ_SIZE;
use crate::resp::MAX_COMMAND;

/// Size of the buffer for a long command, in bytes.
const BUFFER_SIZE: usize = MAX_COMMAND + READ_SIZE;
/// Interval at which a connection that waits for a buffer looks for a client that has taken too long.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

struct Holder {
    closed: Rc<Notify>,
    since: Instant,
    is_evicted: Cell<bool>,
}

/// The buffers of all connections.
pub struct InputMemory {
    free: Semaphore,
    holders: RefCell<BTreeMap<u64, Rc<Holder>>>,
    last_number: Cell<u64>,
    /// Clients that were told to close for want of memory.
    pub evicted: Cell<u64>,
}

/// The right to one buffer, until it is dropped.
pub struct Grant<'a> {
    memory: &'a InputMemory,
    number: u64,
    holder: Rc<Holder>,
    _permit: Option<SemaphorePermit<'a>>,
}

impl InputMemory {
    /// As many buffers as fit into these bytes.
    pub fn new(bytes: u64) -> InputMemory {
        let buffers = (bytes as usize / BUFFER_SIZE).clamp(1, Semaphore::MAX_PERMITS);
        InputMemory {
            free: Semaphore::new(buffers),
            holders: RefCell::default(),
            last_number: Cell::new(0),
            evicted: Cell::new(0),
        }
    }

    /// Waits for a buffer, first come first served. `closed` tells the connection to close.
    pub async fn grant(&self, closed: &Rc<Notify>) -> Grant<'_> {
        let mut permit = pin!(self.free.acquire());
        let permit = loop {
            tokio::select! {
                biased;
                // The semaphore is never closed.
                permit = &mut permit => break permit.ok(),
                () = sleep(STALL_CHECK_INTERVAL) => self.evict_stalled(),
            }
        };
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let holder =
            Rc::new(Holder { closed: closed.clone(), since: Instant::now(), is_evicted: Cell::new(false) });
        self.holders.borrow_mut().insert(number, holder.clone());
        Grant { memory: self, number, holder, _permit: permit }
    }

    /// Tells the connection to close that has held its buffer for longest, if it has for some time.
    fn evict_stalled(&self) {
        let holders = self.holders.borrow();
        let stalled = holders.values().take_while(|holder| holder.since.elapsed() >= MIN_COMMAND_TIME);
        if let Some(holder) = stalled.into_iter().find(|holder| !holder.is_evicted.get()) {
            holder.is_evicted.set(true);
            holder.closed.notify_one();
            self.evicted.set(self.evicted.get() + 1);
        }
    }
}

impl Grant<'_> {
    /// Moves the command's bytes so far into a buffer of the full size.
    pub fn move_into_buffer(&self, buffer: &mut BytesMut) {
        let mut large = BytesMut::with_capacity(BUFFER_SIZE);
        large.extend_from_slice(buffer);
        *buffer = large;
    }

    /// Its connection was told to close but goes on, as more of its command has come.
    pub fn goes_on(&self) {
        self.holder.is_evicted.set(false);
    }
}

impl Drop for Grant<'_> {
    fn drop(&mut self) {
        self.memory.holders.borrow_mut().remove(&self.number);
    }
}

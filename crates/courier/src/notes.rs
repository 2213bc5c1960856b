//! Notes between couriers, a datagram each: what one saw of an endpoint that the others may like to know. They may
//! be late or lost, and nothing is owed for them. Without `peers` in the configuration there is no socket.

use std::net::SocketAddr;

use bytes::Bytes;
use meadowhold::interface::{PeerNote, Time};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::exchange::Shared;

/// The first byte of a note; another form takes another.
const FORMAT_VERSION: u8 = 1;
const MAX_NAME: usize = 200;
/// Nobody is told to wait for longer by a note: told waits of a minute are an outage.
const MAX_WAIT: u16 = 60_000;

/// Form, what is told, the wait in milliseconds (rounded up), and the endpoint's name.
pub fn encode(name: &[u8], event: PeerNote) -> Vec<u8> {
    let (code, wait) = match event {
        PeerNote::Refusing(wait) => (0, wait.div_ceil(10).min(MAX_WAIT.into()) as u16),
        PeerNote::Down => (1, 0),
        PeerNote::Recovered => (2, 0),
    };
    let [high, low] = wait.to_be_bytes();
    [&[FORMAT_VERSION, code, high, low], name].concat()
}

/// What is no note that this courier knows is none.
pub fn decode(note: &[u8]) -> Option<(&[u8], PeerNote)> {
    let [FORMAT_VERSION, code, high, low, name @ ..] = note else { return None };
    let event = match code {
        0 => PeerNote::Refusing(Time::from(u16::from_be_bytes([*high, *low]).min(MAX_WAIT)) * 10),
        1 => PeerNote::Down,
        2 => PeerNote::Recovered,
        _ => return None,
    };
    (!name.is_empty() && name.len() <= MAX_NAME).then_some((name, event))
}

/// Sends what this courier tells, and hears the others; whoever is not among them is not listened to.
pub async fn run(
    shared: Shared,
    socket: UdpSocket,
    others: Vec<SocketAddr>,
    mut outgoing: UnboundedReceiver<(Bytes, PeerNote)>,
) {
    let mut buffer = [0; MAX_NAME + 5];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) if others.contains(&from) => {
                    if let Some((name, event)) = decode(&buffer[..length]) {
                        shared.borrow_mut().note_received(name, event);
                    }
                }
                // An error is that of an earlier note that found nobody.
                Ok(_) | Err(_) => tokio::task::yield_now().await,
            },
            outgoing = outgoing.recv() => {
                let Some((name, event)) = outgoing else { return };
                let note = encode(&name, event);
                for &other in &others {
                    // Guards against a full buffer that holds up what is heard: the note is lost.
                    let _ = socket.try_send_to(&note, other);
                }
            }
        }
    }
}

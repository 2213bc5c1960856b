//! A proxy in front of an endpoint. A list that comes through relays gives all real couriers the same endpoint address,
//! so the proxy forwards each call over the link of the courier that was handed the mail: the endpoint identifies the
//! courier by its link.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{copy_bidirectional, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::record::HandIn;
use crate::relay;

/// The most bytes of a first call that are read in search of a mail id; the connection is then dropped.
const MAX_FIRST_CALL_BYTES: usize = 256 << 10;

/// The proxy stops when this is dropped.
pub struct EndpointProxy {
    pub address: SocketAddr,
    _task: JoinSet<()>,
}

impl EndpointProxy {
    /// `links`: addresses of the links to the endpoint, by courier; `couriers`: the courier that each mail is handed
    /// to.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(
        at: IpAddr,
        links: Vec<SocketAddr>,
        couriers: Arc<Vec<usize>>,
    ) -> io::Result<EndpointProxy> {
        let listener = TcpListener::bind((at, 0)).await?;
        let (address, links, mut task) = (listener.local_addr()?, Arc::new(links), JoinSet::new());
        task.spawn(async move {
            let mut open = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => drop(open.spawn(pass_on(stream, links.clone(), couriers.clone()))),
                        Err(_) => sleep(Duration::from_millis(10)).await,
                    },
                    Some(_) = open.join_next() => {}
                }
            }
        });
        Ok(EndpointProxy { address, _task: task })
    }
}

async fn pass_on(mut near: TcpStream, links: Arc<Vec<SocketAddr>>, couriers: Arc<Vec<usize>>) {
    let both = async {
        let mut first = Vec::new();
        let link = loop {
            let read = near.read_buf(&mut first).await?;
            let message = first_mail(&first).and_then(|message| couriers.get(message as usize));
            match message.and_then(|&courier| links.get(courier)) {
                Some(&link) => break link,
                None if read == 0 => return Ok(()),
                None if first.len() > MAX_FIRST_CALL_BYTES => {
                    return Err(io::Error::other("no mail id in the first 256 KiB of a call"))
                }
                None => {}
            }
        };
        let mut far = TcpStream::connect(link).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        far.write_all(&first).await?;
        let both = copy_bidirectional(&mut near, &mut far).await;
        if both.is_err() {
            relay::reset(&far);
        }
        both.map(drop)
    };
    if both.await.is_err() {
        relay::reset(&near);
    }
}

/// The first mail of a call: from the `X-Request-Id` header, or from the body of a batch.
fn first_mail(call: &[u8]) -> Option<u32> {
    let text = String::from_utf8_lossy(call);
    let mark = if text.starts_with("POST /hook/batch ") { "\"id\":\"" } else { "x-request-id: " };
    let at = text.to_ascii_lowercase().find(mark)? + mark.len();
    HandIn::read(text.get(at..at + 16)?).map(|hand| hand.mail)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_first_mail_of_a_call_is_found_only_in_its_head_or_batch() {
        let rows = [
            ("POST /hook HTTP/1.1\r\nX-Request-Id: 0000001200000001\r\n\r\n", Some(0x12)),
            ("POST /hook HTTP/1.1\r\nX-Request-Id: 00000012000", None),
            ("POST /hook/batch HTTP/1.1\r\n\r\n[{\"id\":\"0000000a00000002\",\"key\":1}", Some(10)),
            ("POST /hook/batch HTTP/1.1\r\nX-Request-Id: 0000001200000001\r\n\r\n[", None),
            ("", None),
        ];
        for (call, found) in rows {
            assert_eq!(first_mail(call.as_bytes()), found, "{call}");
        }
    }
}

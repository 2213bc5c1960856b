//! An HTTP connection to the platform, for the list and the notices, based on hyper. Requests are never retried here
//! and connections are never opened implicitly.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Size of the read buffer and maximum size of a response head, to bound the memory of a connection.
const BUFFER: usize = 16 * 1024;

/// A connection; dropping it closes it.
pub struct Connection {
    requests: SendRequest<Full<Bytes>>,
    host: String,
    /// The task that drives the connection; dropping the set aborts it.
    _driver: JoinSet<()>,
}

impl Connection {
    /// Opens a connection. Must be called within a `LocalSet`. Errors are I/O errors.
    pub async fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let handshake = Builder::new().max_buf_size(BUFFER).handshake(TokioIo::new(stream));
        let (requests, connection) = handshake.await.map_err(io::Error::other)?;
        let mut driver = JoinSet::new();
        driver.spawn_local(async move {
            // Errors are returned to the caller of `send`.
            let _ = connection.await;
        });
        Ok(Connection { requests, host: address.to_string(), _driver: driver })
    }

    /// Whether a request can be sent: the connection is open and the previous response has been read.
    pub fn is_usable(&self) -> bool {
        self.requests.is_ready()
    }

    /// Sends a request and waits for the head of its response. On an error, the connection broke or the response is
    /// invalid; the request may have arrived.
    pub async fn send(&mut self, mut request: Request<Full<Bytes>>) -> io::Result<Response<Incoming>> {
        let host = HeaderValue::from_str(&self.host).map_err(io::Error::other)?;
        request.headers_mut().insert(HOST, host);
        self.requests.send_request(request).await.map_err(io::Error::other)
    }
}

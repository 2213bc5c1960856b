//! Reads and writes on a socket that several tasks share.

use std::io;
use std::net::Shutdown;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Reads what has come; 0 at the end.
pub async fn read(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(buffer) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Ends the sending on a socket.
pub fn end_writing(stream: &TcpStream) -> io::Result<()> {
    match SockRef::from(stream).shutdown(Shutdown::Write) {
        Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(()),
        ended => ended,
    }
}

//! Sockets as this system wants them: no delay, and a dead peer noticed.

use monoio::io::OwnedWriteHalf;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use std::cell::UnsafeCell;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::rc::Rc;
use std::time::Duration;

/// What the library's stream lacks.
pub trait SocketExt {
    /// Sets what every stream of the system has: no delay, and a limit on unacknowledged bytes.
    fn prepare(&self);
    /// Has the stream fail once bytes were not acknowledged for so long.
    fn give_up_after(&self, span: Duration);
    /// True while nothing waits to be read and the other side has not closed: fit to be used again.
    fn is_quiet(&self) -> bool;
    /// True when the other side has closed or broken off the connection, and all that it sent was read.
    fn is_closed(&self) -> bool;
    /// Has the next close break off the connection at once, dropping what was not sent.
    fn reset_on_close(&self) {
        self.set_reset_on_close(true);
    }
    /// Whether the next close breaks off the connection at once.
    fn set_reset_on_close(&self, resets: bool);
}

impl SocketExt for TcpStream {
    fn prepare(&self) {
        if let Err(error) = self.set_nodelay(true) {
            log::debug!("no-delay could not be set: {error}");
        }
        self.give_up_after(Duration::from_millis(2500));
    }

    fn give_up_after(&self, span: Duration) {
        with_socket(self, |socket| {
            if let Err(error) = socket.set_tcp_user_timeout(Some(span)) {
                log::debug!("user time-out could not be set: {error}");
            }
        });
    }

    fn is_quiet(&self) -> bool {
        with_socket(self, |socket| {
            let mut space = [std::mem::MaybeUninit::uninit(); 1];
            matches!(socket.peek(&mut space), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
        })
    }

    fn is_closed(&self) -> bool {
        with_socket(self, |socket| {
            let mut space = [std::mem::MaybeUninit::uninit(); 1];
            match socket.peek(&mut space) {
                Ok(count) => count == 0,
                Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            }
        })
    }

    fn set_reset_on_close(&self, resets: bool) {
        with_socket(self, |socket| {
            if let Err(error) = socket.set_linger(resets.then_some(Duration::ZERO)) {
                log::debug!("linger could not be set: {error}");
            }
        });
    }
}

/// Holds on to a stream whose halves are in use elsewhere, to break it off from outside.
pub struct StreamHandle(Rc<UnsafeCell<TcpStream>>);

impl StreamHandle {
    /// A handle on the stream of this half.
    pub fn of(write: &OwnedWriteHalf<TcpStream>) -> Self {
        Self(write.0.clone())
    }

    /// Ends both directions at once; what was not sent never will be.
    pub fn break_off(self) {
        // SAFETY: one thread, and only the descriptor is read here; no reference outlives the call.
        let stream = unsafe { &*self.0.get() };
        stream.reset_on_close();
        with_socket(stream, |socket| {
            let _ = socket.shutdown(std::net::Shutdown::Both);
        });
    }
}

fn with_socket<R>(stream: &TcpStream, action: impl FnOnce(socket2::SockRef<'_>) -> R) -> R {
    // SAFETY: the descriptor is open as long as `stream` is borrowed, which outlasts this call.
    let descriptor = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    action(socket2::SockRef::from(&descriptor))
}

/// Listens at an address.
pub fn bind_tcp(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false).reuse_addr(true).backlog(1024))
}

/// Connects within a time.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    match monoio::time::timeout(limit, TcpStream::connect_addr(address)).await {
        Ok(Ok(stream)) => {
            stream.prepare();
            Ok(stream)
        }
        Ok(Err(error)) => Err(error),
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

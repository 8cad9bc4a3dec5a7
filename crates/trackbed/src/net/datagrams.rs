//! Datagrams. The library's own receive gives up on a datagram without a sender's address, so
//! only its readiness is used.

use monoio::net::udp::UdpSocket;
use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

const PAUSE: Duration = Duration::from_millis(2);
const LONGEST: usize = 4 << 10;

/// What went over a socket since the start, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes in them.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes in them.
    pub received_bytes: u64,
}

/// A socket for datagrams, with counters.
pub struct Datagrams {
    socket: UdpSocket,
    tally: Cell<Tally>,
}

impl Datagrams {
    /// Opens a socket at an address.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(address)?, tally: Cell::default() })
    }

    /// What was sent and received so far.
    pub fn tally(&self) -> Tally {
        self.tally.get()
    }

    fn count(&self, change: impl FnOnce(&mut Tally)) {
        let mut tally = self.tally.get();
        change(&mut tally);
        self.tally.set(tally);
    }

    fn with_socket<R>(&self, action: impl FnOnce(socket2::SockRef<'_>) -> R) -> R {
        // SAFETY: the descriptor is open as long as `self` is borrowed, which outlasts this call.
        let descriptor = unsafe { BorrowedFd::borrow_raw(self.socket.as_raw_fd()) };
        action(socket2::SockRef::from(&descriptor))
    }

    /// Sends if that can be done at once. A datagram that can't go now is one that was lost.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) {
        self.count(|tally| {
            tally.sent += 1;
            tally.sent_bytes += bytes.len() as u64;
        });
        self.with_socket(|socket| {
            if let Err(error) = socket.send_to(bytes, &to.into()) {
                log::debug!("a datagram to {to} was not sent: {error}");
            }
        });
    }

    /// The next datagram, and who sent it.
    pub async fn receive(&self) -> (Vec<u8>, SocketAddr) {
        // True right after the socket was said to be readable.
        let mut promised = false;
        loop {
            let mut space = [MaybeUninit::<u8>::uninit(); LONGEST];
            match self.with_socket(|socket| socket.recv_from(&mut space)) {
                Ok((count, from)) if from.as_socket().is_some() => {
                    // SAFETY: the operating system wrote `count` bytes.
                    let bytes = space[..count].iter().map(|byte| unsafe { byte.assume_init() }).collect();
                    self.count(|tally| {
                        tally.received += 1;
                        tally.received_bytes += count as u64;
                    });
                    if let Some(from) = from.as_socket() {
                        return (bytes, from);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    // Said to be readable, and nothing there: this too may go on for ever.
                    if promised || self.socket.readable(false).await.is_err() {
                        monoio::time::sleep(PAUSE).await;
                    }
                    promised = !promised;
                }
                // Nothing that names its sender, or a port that nobody listens at. Either may come again at
                // once, so the loop pauses rather than turns on the spot.
                _ => monoio::time::sleep(PAUSE).await,
            }
        }
    }
}

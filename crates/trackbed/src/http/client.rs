//! Calls to an HTTP server over one connection that is kept for further calls.

use super::line::{Line, OpenConnections};
use super::returns::{Return, write_request};
use super::{Presence, Request};
use crate::net::connect;
use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The longest answer that is read.
const BODY_LIMIT: u64 = 32 << 20;

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CallFault {
    /// Nothing was sent: the connection was refused. No process listens at the address, or it accepts no more.
    #[display("the connection was refused")]
    Refused,
    /// Nothing was sent: the server was not reached.
    #[display("the server can't be reached")]
    NotSent,
    /// The call may have been carried out, or still may be.
    #[display("the call got no answer")]
    NoAnswer,
}

/// One server, and the connection to it.
pub struct Client {
    address: SocketAddr,
    line: Option<Line>,
    /// Where its connections are counted.
    connections: Rc<OpenConnections>,
}

impl Client {
    /// A client that is not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self::counted(address, Rc::default())
    }

    /// The same, whose connections are counted with others to that server.
    pub fn counted(address: SocketAddr, connections: Rc<OpenConnections>) -> Self {
        Self { address, line: None, connections }
    }

    /// Lets go of the connection that is kept, where the server has closed it.
    pub fn drop_closed(&mut self) {
        self.line = self.line.take().filter(Line::is_quiet);
    }

    async fn connect(&self, limit: Duration) -> Result<Line, CallFault> {
        match connect(self.address, limit).await {
            Ok(stream) => Ok(Line::counted(stream, &self.connections)),
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => Err(CallFault::Refused),
            Err(_) => Err(CallFault::NotSent),
        }
    }

    /// Sends a request and reads its whole answer. After a fault the connection is broken off.
    ///
    /// # Errors
    ///
    /// [`CallFault`] says whether the request may have reached the server.
    pub async fn call(&mut self, request: &Request, limit: Duration) -> Result<Return, CallFault> {
        let kept = self.line.take().filter(Line::is_quiet);
        let mut line = match kept {
            Some(line) => line,
            None => self.connect(limit).await?,
        };
        line.break_off_on_close(true);
        let host = self.address.to_string();
        let own_host = [("host", host.as_str())];
        let replaced = if request.headers.contains_key(http::header::HOST) { &own_host[..0] } else { &own_host[..] };
        let bytes = write_request(request, replaced, &[]);
        let bodyless = request.method == Method::HEAD;
        let exchange = async {
            line.write(bytes).await.map_err(|_| CallFault::NoAnswer)?;
            line.read_return(bodyless, BODY_LIMIT).await.map_err(|_| CallFault::NoAnswer)
        };
        let answer = monoio::time::timeout(limit, exchange).await.unwrap_or(Err(CallFault::NoAnswer))?;
        line.break_off_on_close(false);
        if !answer.closes && !line.has_surplus() {
            self.line = Some(line);
        }
        Ok(answer)
    }
}

impl Request {
    /// A request of this process's own; a header whose value can't be written is left out.
    pub fn own(method: Method, target: String, headers: &[(&'static str, &str)], body: Bytes) -> Self {
        let mut table = HeaderMap::new();
        for (name, value) in headers {
            if let Ok(value) = HeaderValue::from_str(value) {
                table.insert(HeaderName::from_static(name), value);
            }
        }
        Self { method, target, headers: table, body, keeps: true, from: None, presence: Presence::default() }
    }

    /// A request with a JSON body.
    pub fn json(method: Method, target: String, body: String) -> Self {
        Self::own(method, target, &[("content-type", "application/json")], Bytes::from(body))
    }
}

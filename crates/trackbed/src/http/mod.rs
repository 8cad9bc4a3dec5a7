//! HTTP/1.1 on the library's head decoders. Bodies are framed here, strictly: what could be
//! read in two ways is turned away.

mod body;
mod client;
mod door;
mod flow;
mod head;
mod json;
mod line;
mod pace;
mod presence;
mod reservation;
mod returns;
mod serve;
#[cfg(test)]
mod tests;

pub use body::Framing;
pub use client::{CallFault, Client};
pub use door::{BodyLimits, DoorError, DoorLimits};
pub use flow::{Flow, HELD_WHOLE};
pub use head::{Request, connection_closes, is_hop_header, single};
pub use json::JsonReturn;
pub use line::{CountedConnection, Line, OpenConnections};
pub use pace::Pacer;
pub use presence::Presence;
pub use reservation::{NoRoom, Reservation};
pub use returns::{Guard, Return, ReturnError, write_request};
pub use serve::{Handler, Serving, serve_listener};

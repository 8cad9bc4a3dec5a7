//! JSON answers of the system's own interfaces.

use super::returns::Return;
use bytes::Bytes;
use http::HeaderValue;

/// Answers with JSON bodies.
pub trait JsonReturn {
    /// An answer with a JSON body.
    fn json(status: u16, body: String) -> Return;
    /// An answer that names a fault.
    fn fault(status: u16, message: &str) -> Return;
}

impl JsonReturn for Return {
    fn json(status: u16, body: String) -> Return {
        let mut answer = Return::new(status);
        answer.headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        answer.body = Bytes::from(body);
        answer
    }

    fn fault(status: u16, message: &str) -> Return {
        Self::json(status, format!("{{\"error_message\":\"{}\"}}", crate::logs::escape(message)))
    }
}

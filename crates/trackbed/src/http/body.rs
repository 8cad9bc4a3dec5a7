//! How a body ends.

use http::{HeaderMap, header};

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Nothing,
    /// So many bytes.
    Length(u64),
    /// Chunks, up to an empty one.
    Chunked,
    /// Only an answer's, and it never counts as whole.
    UntilClose,
}

impl Framing {
    fn declared(headers: &HeaderMap) -> Result<Option<Framing>, &'static str> {
        let mut length = None;
        for value in headers.get_all(header::CONTENT_LENGTH) {
            let digits = value.as_bytes();
            if digits.is_empty() || digits.len() > 15 || !digits.iter().all(|byte| byte.is_ascii_digit()) {
                return Err("Content-Length is not a number");
            }
            if length.is_some() {
                return Err("Content-Length stands twice");
            }
            let digits = std::str::from_utf8(digits).map_err(|_| "Content-Length is not a number")?;
            length = Some(digits.parse::<u64>().map_err(|_| "Content-Length is not a number")?);
        }
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        match (codings.next(), length) {
            (None, None) => Ok(None),
            (None, Some(length)) => Ok(Some(Framing::Length(length))),
            (Some(_), Some(_)) => Err("Content-Length stands beside Transfer-Encoding"),
            (Some(coding), None) => {
                if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                    return Err("Transfer-Encoding is not plain chunked");
                }
                Ok(Some(Framing::Chunked))
            }
        }
    }

    pub(super) fn of_request(headers: &HeaderMap) -> Result<Framing, &'static str> {
        Ok(Self::declared(headers)?.unwrap_or(Framing::Nothing))
    }

    pub(super) fn of_return(headers: &HeaderMap, status: u16, bodyless: bool) -> Result<Framing, &'static str> {
        let declared = Self::declared(headers)?;
        if bodyless || status < 200 || status == 204 || status == 304 {
            return Ok(Framing::Nothing);
        }
        Ok(declared.unwrap_or(Framing::UntilClose))
    }
}

/// The size in a chunk's first line, extensions left out.
pub(super) fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|byte| *byte == b';').next()?;
    let digits = std::str::from_utf8(digits).ok()?.trim_end_matches([' ', '\t']);
    if digits.is_empty() || digits.len() > 12 || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}

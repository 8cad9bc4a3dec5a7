//! A program's own figures, told as text in the OpenMetrics format.

use crate::http::Return;
use bytes::Bytes;
use http::HeaderValue;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Where each program answers with its figures.
pub const PATH: &str = "/v1/metrics";
const CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// What every figure's name begins with.
pub const PREFIX: &str = "ferryhinge";

/// The answer to a request for the figures of a registry.
pub fn answer(registry: &Registry) -> Return {
    let mut text = String::new();
    if encode(&mut text, registry).is_err() {
        return Return::text(500, "the figures can't be written");
    }
    let mut answer = Return::new(200);
    answer.headers.insert(http::header::CONTENT_TYPE, CONTENT_TYPE);
    answer.body = Bytes::from(text);
    answer
}

//! Requests to a service that is divided by key.

use super::{Plan, Unplanned};
use assert_matches::assert_matches;
use http::{HeaderMap, HeaderValue, Method};
use std::rc::Rc;
use timetable::configuration::{Configuration, Routes};
use trackbed::clock;
use trackbed::http::Request;

fn routes() -> Rc<Routes> {
    let text = r#"{"version":"r1","routes":{
        "divided":{"hostname":"h","path_prefix":"/d/","route_type":"idempotent","timeout_s":1,"service_name":"d"},
        "whole":{"hostname":"h","path_prefix":"/w/","route_type":"idempotent","timeout_s":1,"service_name":"w"}},
        "services":{"d":{"sharded":true,"grants":"heartbeat"},"w":{}}}"#;
    Rc::new(Configuration::parse(text.as_bytes()).unwrap().typed().unwrap())
}

fn request(path: &str, keys: &[&'static str]) -> Request {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("h"));
    headers.insert("ferryhinge-attempt-id", HeaderValue::from_static("a1"));
    for key in keys {
        headers.append("ferryhinge-shard-key", HeaderValue::from_static(key));
    }
    Request {
        method: Method::GET,
        target: path.into(),
        headers,
        body: Default::default(),
        keeps: true,
        from: None,
        presence: Default::default(),
    }
}

fn key_of(path: &str, keys: &[&'static str]) -> Result<Option<u16>, Unplanned> {
    Plan::make(&request(path, keys), Some(&routes()), clock::now()).map(|plan| plan.key)
}

#[test]
fn a_request_to_a_divided_service_names_one_key_and_others_need_none() {
    assert_eq!(key_of("/d/1", &["0"]), Ok(Some(0)));
    assert_eq!(key_of("/d/1", &["65535"]), Ok(Some(65535)));
    for bad in [&[][..], &["65536"], &["-1"], &["1.5"], &["x"], &[""], &["1", "2"]] {
        assert_matches!(key_of("/d/1", bad), Err(Unplanned::Malformed(reason)) if reason.contains("Shard-Key"), "{bad:?}");
    }
    assert_eq!(key_of("/w/1", &[]), Ok(None));
    assert_eq!(key_of("/w/1", &["77"]), Ok(None), "the header says nothing where no key divides the service");
}

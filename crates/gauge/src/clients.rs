//! `gauge clients`: whether nodes show the same top clients.

use crate::ask::{AskError, get_now};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What one node shows.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    /// Zab epoch and number of the report.
    pub report: Option<(u64, u64)>,
    pub stale: bool,
    pub sealing: bool,
    pub age: f64,
    /// The list, as it stood.
    pub clients: String,
    pub lines: Vec<String>,
}

fn number(text: &str) -> Option<(u64, u64)> {
    let (epoch, number) = text.split_once('.')?;
    Some((epoch.parse().ok()?, number.parse().ok()?))
}

impl Shown {
    pub fn read(body: &[u8]) -> Result<Self, AskError> {
        let value: Value = trackbed::json::parse(body).map_err(|_| AskError::Unreadable)?;
        let field = |name: &str| value.pointer([name].iter());
        let flag = |name: &str| field(name).and_then(|flag| flag.as_bool()).ok_or(AskError::TellsNoClients);
        let (stale, sealing) = (flag("stale")?, flag("sealing")?);
        let report = field("report").ok_or(AskError::TellsNoClients)?;
        if report.is_null() {
            let (clients, lines) = (String::new(), Vec::new());
            return Ok(Self { report: None, stale, sealing, age: 0.0, clients, lines });
        }
        let report = report.as_str().and_then(number).ok_or(AskError::Unreadable)?;
        let age = field("age_s").and_then(|age| age.as_f64()).ok_or(AskError::Unreadable)?;
        let list = field("clients").ok_or(AskError::Unreadable)?;
        let clients = sonic_rs::to_string(list).map_err(|_| AskError::Unreadable)?;
        let whole =
            |name: &str| list.pointer([name].iter()).and_then(|count| count.as_u64()).ok_or(AskError::Unreadable);
        let span = list.pointer(["span_s"].iter()).and_then(|span| span.as_f64()).ok_or(AskError::Unreadable)?;
        let mut lines = vec![format!(
            "{} requests in {span:.0} s, counted at {} of {} nodes; a count may be off by {}",
            whole("requests")?,
            whole("nodes_counted")?,
            whole("nodes")?,
            whole("error")?
        )];
        let top = list.pointer(["top"].iter()).and_then(|top| top.as_array()).ok_or(AskError::Unreadable)?;
        for (place, client) in top.iter().enumerate() {
            let whole = |name: &str| client.pointer([name].iter()).and_then(|count| count.as_u64());
            let name = client.pointer(["client"].iter()).and_then(|name| name.as_str()).ok_or(AskError::Unreadable)?;
            let requests = whole("requests").ok_or(AskError::Unreadable)?;
            let (least, most) = (whole("at_least").unwrap_or(0), whole("at_most").unwrap_or(0));
            let unsure = client.pointer(["rank_unsure"].iter()).and_then(|unsure| unsure.as_bool()) == Some(true);
            let place = format!("{:>3}{}", place + 1, if unsure { "?" } else { " " });
            lines.push(format!("{place} {requests:>9} ({least} to {most})  {}", name.escape_debug()));
        }
        Ok(Self { report: Some(report), stale, sealing, age, clients, lines })
    }
}

/// What the nodes' lists come to together, and the status: 0 alike or a window apart, 1 not.
pub fn compare(shown: &[(SocketAddr, Shown)]) -> (Vec<String>, i32) {
    let mut lines = Vec::new();
    let mut status = 0;
    let mut lists: BTreeMap<(u64, u64), (&SocketAddr, &str)> = BTreeMap::new();
    for (address, shown) in shown {
        let Some(report) = shown.report else {
            lines.push(format!("{address}: shows no report yet"));
            status = 1;
            continue;
        };
        if shown.stale {
            lines.push(format!("{address}: report {}.{} is stale, {:.0} s old", report.0, report.1, shown.age));
            status = 1;
        }
        if !shown.sealing {
            lines.push(format!("{address}: knows of nobody who seals new reports"));
        }
        match lists.get(&report) {
            Some((other, list)) if *list != shown.clients => {
                lines.push(format!("{address} and {other}: differ under one number, {}.{}", report.0, report.1));
                status = 1;
            }
            Some(_) => {}
            None => drop(lists.insert(report, (address, &shown.clients))),
        }
    }
    let (oldest, newest) = (lists.keys().next(), lists.keys().next_back());
    if let (Some(oldest), Some(newest)) = (oldest, newest) {
        let apart = oldest.0 != newest.0 || newest.1 - oldest.1 > 1;
        if apart {
            lines.push(format!("reports {}.{} to {}.{}: too far apart", oldest.0, oldest.1, newest.0, newest.1));
            status = 1;
        } else if status == 0 {
            lines.push(format!("{} nodes show the same, up to report {}.{}", shown.len(), newest.0, newest.1));
        }
    }
    (lines, status)
}

pub fn clients(addresses: &[SocketAddr], json: bool) -> i32 {
    let mut all = Vec::new();
    for address in addresses {
        let answer = get_now(*address, "/v1/clients").and_then(|body| Ok((Shown::read(&body)?, body)));
        match answer {
            Ok((shown, body)) => {
                if json {
                    println!("{}", String::from_utf8_lossy(&body));
                }
                all.push((*address, shown));
            }
            Err(error) => {
                eprintln!("gauge: {address}: {error}");
                return 2;
            }
        }
    }
    let (lines, status) = compare(&all);
    if !json {
        let newest = all.iter().max_by_key(|(_, shown)| shown.report);
        newest.into_iter().flat_map(|(_, shown)| &shown.lines).for_each(|line| println!("{line}"));
        lines.iter().for_each(|line| println!("{line}"));
    }
    status
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    fn body(report: &str, stale: bool, count: u64) -> Vec<u8> {
        format!(
            r#"{{"report":"{report}","age_s":4.5,"stale":{stale},"sealing":true,"clients":{{"span_s":60.0,
            "nodes_counted":9,"nodes_counted_least":8,"nodes":9,"requests":{count},"error":2,"top":[
            {{"client":"tenant:d7/\u001b[2J","requests":{count},"at_least":5,"at_most":9,"rank_unsure":true}}]}}}}"#
        )
        .into_bytes()
    }

    fn status(bodies: &[Vec<u8>]) -> i32 {
        let at = |index: usize| SocketAddr::from(([10, 0, 0, index as u8], 1));
        let shown: Vec<_> =
            bodies.iter().enumerate().map(|(index, body)| (at(index), Shown::read(body).unwrap())).collect();
        compare(&shown).1
    }

    #[test]
    fn alike_or_a_window_apart_is_good_and_anything_else_is_told() {
        assert_eq!(status(&[body("3.7", false, 7), body("3.7", false, 7)]), 0);
        assert_eq!(status(&[body("3.7", false, 7), body("3.8", false, 8)]), 0);
        assert_eq!(status(&[body("3.7", false, 7), body("3.7", false, 8)]), 1, "two lists under one number");
        assert_eq!(status(&[body("3.7", false, 7), body("3.9", false, 8)]), 1, "too far apart");
        assert_eq!(status(&[body("3.7", false, 7), body("4.1", false, 8)]), 1, "of two primaries");
        assert_eq!(status(&[body("3.7", true, 7)]), 1, "stale");
        let none = br#"{"report":null,"stale":true,"sealing":false,"clients":null}"#.to_vec();
        assert_eq!(status(&[none, body("3.7", false, 7)]), 1);
    }

    #[test]
    fn garbled_and_foreign_answers_are_errors_and_names_are_shown_harmless() {
        let whole = body("3.7", false, 7);
        assert_matches!(Shown::read(&whole[..whole.len() - 4]), Err(AskError::Unreadable));
        assert_matches!(Shown::read(br#"{"primary":null}"#), Err(AskError::TellsNoClients));
        assert_matches!(Shown::read(&body("37", false, 7)), Err(AskError::Unreadable));
        let lines = Shown::read(&whole).unwrap().lines;
        assert!(lines[0].contains("9 of 9 nodes") && lines[1].contains("1?"), "{lines:?}");
        assert!(!lines[1].contains('\u{1b}'), "{lines:?}");
    }
}

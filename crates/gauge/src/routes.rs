//! `gauge routes`: whether every proxy's routes are those meant for it; `gauge region`: a node's own region.

use crate::ask::{AskError, get_now};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::net::SocketAddr;

/// What `gauge routes` has to say, and with which status it ends.
#[derive(Debug, PartialEq)]
pub struct Verdicts {
    pub lines: Vec<String>,
    pub status: i32,
}

/// Reads the primary's verdicts out of a fleet's answer.
pub fn read(fleet: &[u8]) -> Result<Verdicts, AskError> {
    let value: Value = trackbed::json::parse(fleet).map_err(|_| AskError::Unreadable)?;
    let proxies = value.pointer(["proxies"].iter()).ok_or(AskError::TellsNoDigest)?;
    if proxies.is_null() {
        return Err(AskError::NoMajority);
    }
    let mut lines = Vec::new();
    let (mut wrong, mut unheard) = (false, false);
    for proxy in proxies.as_array().ok_or(AskError::Unreadable)?.iter() {
        let text = |field: &str| proxy.pointer([field].iter()).and_then(|value| value.as_str());
        let seconds = |field: &str| proxy.pointer([field].iter()).and_then(|value| value.as_f64());
        let name = text("node_name").ok_or(AskError::Unreadable)?;
        let verdict = text("verdict").ok_or(AskError::Unreadable)?;
        let since = match (seconds("last_right_s_ago"), seconds("first_wrong_s_ago")) {
            (Some(right), Some(wrong)) => format!(", right until {right:.1} s ago, wrong since {wrong:.1} s ago"),
            (None, Some(wrong)) => format!(", wrong since {wrong:.1} s ago, never seen right"),
            _ => String::new(),
        };
        match verdict {
            "in step" | "on its way" => {}
            "unheard" => unheard = true,
            _ => wrong = true,
        }
        if verdict == "in step" {
            continue;
        }
        let life = text("life").unwrap_or("");
        let version = text("configuration").unwrap_or("");
        lines.push(format!("{name} (life {life}): {verdict}, at {version}{since}"));
        let routes = proxy.pointer(["routes"].iter()).and_then(|routes| routes.as_array());
        for route in routes.into_iter().flat_map(|routes| routes.iter()) {
            let said =
                |field: &str| route.pointer([field].iter()).and_then(|value| value.as_str()).unwrap_or("nothing");
            lines.push(format!("    {}: meant {}; found {}", said("place"), said("meant"), said("found")));
        }
    }
    let status = match (wrong, unheard) {
        (true, _) => 1,
        (_, true) => 2,
        _ => 0,
    };
    if lines.is_empty() {
        lines.push("every proxy is in step".into());
    }
    Ok(Verdicts { lines, status })
}

pub fn routes(address: SocketAddr, json: bool) -> i32 {
    let verdicts = get_now(address, "/v1/fleet").and_then(|body| {
        let verdicts = read(&body)?;
        Ok((body, verdicts))
    });
    match verdicts {
        Ok((body, verdicts)) => {
            match json {
                true => println!("{}", proxies_text(&body)),
                false => verdicts.lines.iter().for_each(|line| println!("{line}")),
            }
            verdicts.status
        }
        Err(error) => {
            eprintln!("gauge: {error}");
            2
        }
    }
}

fn proxies_text(body: &[u8]) -> String {
    let value: Option<Value> = trackbed::json::parse(body).ok();
    let proxies = value.as_ref().and_then(|value| value.pointer(["proxies"].iter()));
    proxies.and_then(|proxies| sonic_rs::to_string(proxies).ok()).unwrap_or_else(|| "null".into())
}

/// What a node says of its region: in touch with the core, coordinator, council, provisional facts.
pub fn region(address: SocketAddr) -> i32 {
    let told = get_now(address, "/v1/fleet").and_then(|body| region_lines(&body));
    match told {
        Ok(lines) => {
            lines.iter().for_each(|line| println!("{line}"));
            0
        }
        Err(error) => {
            eprintln!("gauge: {error}");
            2
        }
    }
}

fn region_lines(body: &[u8]) -> Result<Vec<String>, AskError> {
    let value: Value = trackbed::json::parse(body).map_err(|_| AskError::Unreadable)?;
    let text = |field: &str| value.pointer([field].iter()).and_then(|value| value.as_str()).unwrap_or("none");
    let in_touch = value.pointer(["in_touch"].iter()).and_then(|value| value.as_bool()).ok_or(AskError::NotAProxy)?;
    let heard = value.pointer(["core_heard_s_ago"].iter()).and_then(|value| value.as_f64()).unwrap_or(0.0);
    let list = |field: &str| {
        let list = value.pointer([field].iter()).and_then(|list| list.as_array());
        let names: Vec<String> =
            list.into_iter().flat_map(|list| list.iter()).filter_map(|name| name.as_str().map(str::to_owned)).collect();
        if names.is_empty() { "none".into() } else { names.join(", ") }
    };
    let term = value.pointer(["term"].iter()).and_then(|value| value.as_u64());
    Ok(vec![
        format!(
            "region {}: {} the core, heard {heard:.1} s ago",
            text("region"),
            if in_touch { "in touch with" } else { "cut off from" }
        ),
        format!(
            "coordinator {}, term {}",
            text("coordinator"),
            term.map(|term| term.to_string()).unwrap_or("none".into())
        ),
        format!("council {} (charter {})", list("council"), text("charter")),
        format!("provisional: seen {}; leaving {}", list("provisional_seen"), list("provisional_leaving")),
    ])
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    fn fleet(verdicts: &[&str]) -> Vec<u8> {
        let proxy = |verdict: &&str| {
            format!(
                r#"{{"node_name":"p-{verdict}","life":"1f","verdict":"{verdict}","configuration":"r7","last_right_s_ago":9.5,
                "first_wrong_s_ago":4.5,"routes":[{{"place":"h/a/","meant":"a to s","found":null}}]}}"#
            )
        };
        let proxies: Vec<String> = verdicts.iter().map(proxy).collect();
        format!(r#"{{"configuration":"r7","proxies":[{}]}}"#, proxies.join(",")).into_bytes()
    }

    #[test]
    fn the_status_says_what_was_found() {
        assert_eq!(read(&fleet(&["in step", "on its way"])).unwrap().status, 0);
        assert_eq!(read(&fleet(&["in step", "drifted"])).unwrap().status, 1);
        assert_eq!(read(&fleet(&["late"])).unwrap().status, 1);
        assert_eq!(read(&fleet(&["in step", "unheard"])).unwrap().status, 2);
        let drifted = read(&fleet(&["drifted"])).unwrap();
        assert!(drifted.lines[0].contains("right until 9.5 s ago, wrong since 4.5 s ago"), "{drifted:?}");
        assert!(drifted.lines[1].contains("meant a to s; found nothing"), "{drifted:?}");
    }

    #[test]
    fn what_can_not_be_told_is_an_error_with_a_remedy() {
        assert_matches!(read(br#"{"configuration":"r7"}"#), Err(AskError::TellsNoDigest));
        assert_matches!(read(br#"{"proxies":null}"#), Err(AskError::NoMajority));
        let whole = fleet(&["drifted"]);
        assert_matches!(read(&whole[..whole.len() - 9]), Err(AskError::Unreadable));
        assert_matches!(read(br#"{"proxies":[{"verdict":"late"}]}"#), Err(AskError::Unreadable));
        assert!(AskError::NoMajority.to_string().contains("ask"), "the remedy");
        assert_matches!(region_lines(br#"{"primary":null}"#), Err(AskError::NotAProxy));
    }

    #[test]
    fn a_region_cut_off_is_told_as_such() {
        let body = br#"{"region":"north","in_touch":false,"core_heard_s_ago":12.25,"coordinator":"n3","term":4,
            "council":["n1","n3"],"charter":"1.9","provisional_seen":["i-1"],"provisional_leaving":[]}"#;
        let lines = region_lines(body).unwrap();
        assert!(lines[0].contains("cut off from the core") && lines[1].contains("n3, term 4"));
        assert!(lines[2].contains("n1, n3 (charter 1.9)") && lines[3].contains("seen i-1; leaving none"));
    }
}

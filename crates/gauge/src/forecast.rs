//! `gauge forecast`: how busy next week will be, and which hours do not fit.

use crate::ask::{AskError, get_now};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::net::SocketAddr;

/// What there is to say, and with which status.
#[derive(Debug, PartialEq)]
pub struct Told {
    pub lines: Vec<String>,
    pub status: i32,
}

/// An hour since 1970 as people read it, in UTC.
fn date(hour: u64) -> String {
    // Civil from days, by the proleptic calendar: eras of 400 years, years that begin in March.
    let days = (hour / 24) as i64 + 719_468;
    let era = days.div_euclid(146_097);
    let of_era = days.rem_euclid(146_097);
    let year_of_era = (of_era - of_era / 1460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted = (5 * of_year + 2) / 153;
    let day = of_year - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 { shifted + 3 } else { shifted - 9 };
    let year = era * 400 + year_of_era + (month <= 2) as i64;
    format!("{year:04}-{month:02}-{day:02} {:02}:00", hour % 24)
}

pub fn read(body: &[u8]) -> Result<Told, AskError> {
    let value: Value = trackbed::json::parse(body).map_err(|_| AskError::Unreadable)?;
    let enough = value.pointer(["enough"].iter()).and_then(|enough| enough.as_bool());
    let slots = value.pointer(["history_slots"].iter()).and_then(|slots| slots.as_u64());
    let (Some(enough), Some(slots)) = (enough, slots) else { return Err(AskError::TellsNoForecast) };
    if !enough {
        let fitting = value.pointer(["fitting"].iter()).and_then(|count| count.as_u64()).unwrap_or(0);
        let why = if fitting > 0 { format!("; {fitting} series are still being fitted") } else { String::new() };
        let line = format!("not enough: {slots} hours of history, two weeks are needed{why}; nothing is reserved");
        return Ok(Told { lines: vec![line], status: 2 });
    }
    let list = |value: &Value, name: &str| -> Result<Vec<Value>, AskError> {
        let list = value.pointer([name].iter()).and_then(|list| list.as_array()).ok_or(AskError::Unreadable)?;
        Ok(list.iter().cloned().collect())
    };
    let (mut lines, mut status) = (vec![format!("from {slots} hours of history, next week by UTC")], 0);
    for service in list(&value, "services")? {
        let name = service.pointer(["service"].iter()).and_then(|name| name.as_str()).ok_or(AskError::Unreadable)?;
        let capacity = service.pointer(["capacity_work_s"].iter()).and_then(|capacity| capacity.as_f64());
        let capacity = capacity.map(|capacity| format!("{capacity:.0} s of work an hour"));
        lines.push(format!("{}: {}", name.escape_debug(), capacity.as_deref().unwrap_or("no endpoints now")));
        for route in list(&service, "routes")? {
            let text =
                |name: &str| route.pointer([name].iter()).and_then(|text| text.as_str()).unwrap_or("?").to_owned();
            let error = route.pointer(["error"].iter()).and_then(|error| error.as_f64()).ok_or(AskError::Unreadable)?;
            let first =
                route.pointer(["first_hour"].iter()).and_then(|hour| hour.as_u64()).ok_or(AskError::Unreadable)?;
            let mut busiest: Option<(f64, f64, f64, u64)> = None;
            for (index, hour) in list(&route, "hours")?.iter().enumerate() {
                let parts: Vec<f64> = hour
                    .as_array()
                    .into_iter()
                    .flat_map(|parts| parts.iter())
                    .filter_map(|part| part.as_f64())
                    .collect();
                let [requests, least, most] = parts[..] else { return Err(AskError::Unreadable) };
                if busiest.is_none_or(|(top, ..)| requests > top) {
                    busiest = Some((requests, least, most, first + index as u64));
                }
            }
            if let Some((requests, least, most, hour)) = busiest {
                lines.push(format!(
                    "  {}: busiest {}, {requests:.0} requests ({least:.0} to {most:.0}); {}, off by {:.0}% in the test week",
                    text("route").escape_debug(),
                    date(hour),
                    text("model"),
                    error * 100.0
                ));
            }
        }
        for hour in list(&service, "over")? {
            let at = hour.pointer(["hour"].iter()).and_then(|hour| hour.as_u64()).ok_or(AskError::Unreadable)?;
            let likely = hour.pointer(["likely"].iter()).and_then(|likely| likely.as_bool()) == Some(true);
            let driver = hour.pointer(["driven_by"].iter()).and_then(|driver| driver.as_str());
            let driver = driver.map(|driver| format!(", driven by {}", driver.escape_debug())).unwrap_or_default();
            let word = if likely { "will not fit" } else { "may not fit" };
            lines.push(format!("  {} {word}{driver}", date(at)));
            status = 1;
        }
    }
    Ok(Told { lines, status })
}

pub fn forecast(address: SocketAddr, service: Option<&str>, json: bool) -> i32 {
    let path = match service {
        Some(service) => format!("/v1/forecast?service={service}"),
        None => "/v1/forecast".to_owned(),
    };
    match get_now(address, &path).and_then(|body| Ok((read(&body)?, body))) {
        Ok((told, body)) => {
            match json {
                true => println!("{}", String::from_utf8_lossy(&body)),
                false => told.lines.iter().for_each(|line| println!("{line}")),
            }
            told.status
        }
        Err(error) => {
            eprintln!("gauge: {error}");
            2
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    fn body(over: &str) -> Vec<u8> {
        format!(
            r#"{{"history_slots":700,"enough":true,"services":[{{"service":"s","capacity_work_s":7200.0,"over":[{over}],
            "routes":[{{"route":"r","model":"mstl","error":0.07,"first_hour":496000,"hours":[[5,4,6],[9,8,11]]}}]}}]}}"#
        )
        .into_bytes()
    }

    #[test]
    fn the_status_says_whether_next_week_fits() {
        let fits = read(&body("")).unwrap();
        assert_eq!(fits.status, 0);
        assert!(fits.lines[2].contains("9 requests (8 to 11); mstl, off by 7%"), "{fits:?}");
        let over = read(&body(r#"{"hour":496001,"likely":false,"driven_by":"tenant:d7"}"#)).unwrap();
        assert_eq!(over.status, 1);
        assert!(over.lines.last().unwrap().ends_with("may not fit, driven by tenant:d7"), "{over:?}");
        let little = read(br#"{"history_slots":5,"enough":false,"services":[]}"#).unwrap();
        assert!(little.status == 2 && little.lines[0].contains("two weeks are needed"), "{little:?}");
    }

    #[test]
    fn what_can_not_be_read_is_an_error_and_hours_have_dates() {
        let whole = body("");
        assert_matches!(read(&whole[..whole.len() - 3]), Err(AskError::Unreadable));
        assert_matches!(read(br#"{"primary":null}"#), Err(AskError::TellsNoForecast));
        assert_matches!(read(&body(r#"{"likely":true}"#)), Err(AskError::Unreadable));
        assert_eq!(date(0), "1970-01-01 00:00");
        assert_eq!(date(496_000), "2026-08-01 16:00");
        assert_eq!(date(24 * 11_016 + 7), "2000-02-29 07:00");
    }
}

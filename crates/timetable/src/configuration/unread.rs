//! Which keys of a configuration are read by nothing.

use super::observation::OBSERVATION;
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use trackbed::json;

const TOP: [&str; 8] = ["version", "routes", "services", "tenants", "limits", "upserts", "removals", OBSERVATION];
const TABLES: [&str; 3] = ["routes", "services", "tenants"];
const ROUTE: [&str; 10] = [
    "name",
    "hostname",
    "path_prefix",
    "route_type",
    "timeout_s",
    "target_latency_s",
    "service_name",
    "traffic_split",
    "priority",
    "max_attempts",
];
const SERVICE: [&str; 7] =
    ["name", "health_check_path", "max_connections", "sharded", "grants", "cold_rate_s", "cold_start_s"];
const TENANT: [&str; 3] = ["name", "regions", "claims"];
const LIMITS: [&str; 4] = ["max_header_bytes", "max_body_bytes", "header_timeout_s", "idle_timeout_s"];

/// Names of keys, and whether each is read at that place.
fn known(table: &str) -> &'static [&'static str] {
    match table {
        "routes" => &ROUTE,
        "services" => &SERVICE,
        "tenants" => &TENANT,
        _ => &LIMITS,
    }
}

/// The places of keys that nothing reads, each once however many items bear it: `*` stands for the item.
pub fn unread_keys(body: &[u8]) -> Vec<String> {
    let Ok(value) = json::parse(body) else { return Vec::new() };
    let mut found = unknown(&value, &TOP, "");
    let upserts = value.pointer(["upserts"].iter());
    for table in TABLES {
        let lists = [Some(&value), upserts].into_iter().flatten();
        for list in lists.filter_map(|place| place.pointer([table].iter())) {
            let items: Vec<&Value> = match (list.as_object(), list.as_array()) {
                (Some(items), _) => items.iter().map(|(_, item)| item).collect(),
                (_, Some(items)) => items.iter().collect(),
                _ => Vec::new(),
            };
            found.extend(items.into_iter().flat_map(|item| unknown(item, known(table), &format!("/{table}/*"))));
        }
    }
    if let Some(limits) = value.pointer(["limits"].iter()) {
        found.extend(unknown(limits, &LIMITS, "/limits"));
    }
    found.sort();
    found.dedup();
    found
}

fn unknown(value: &Value, known: &[&str], place: &str) -> Vec<String> {
    let Some(table) = value.as_object() else { return Vec::new() };
    let names = table.iter().map(|(name, _)| name).filter(|name| !known.contains(name));
    names.map(|name| format!("{place}/{name}")).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_that_nothing_reads_are_told_once_with_their_place() {
        let body = br#"{"version":"r1","extra":1,"routes":{"a":{"hostname":"h","allowed_regions":["r"]},"b":{"allowed_regions":[]}},
            "services":{"s":{"cold_rate_s":3,"tls_enabled":false}},"limits":{"max_body_bytes":5,"most":1},
            "upserts":{"services":{"t":{"protocol":"h1"}}}}"#;
        let wanted =
            ["/extra", "/limits/most", "/routes/*/allowed_regions", "/services/*/protocol", "/services/*/tls_enabled"];
        assert_eq!(unread_keys(body), wanted);
        assert_eq!(unread_keys(b"{"), Vec::<String>::new());
    }
}

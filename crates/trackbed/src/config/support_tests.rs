//! What is told of settings that ask for more than there is.

use super::*;

fn config(rest: &str) -> LocalConfig {
    let text = format!(
        r#"{{"node_name":"n","zone":"z","region":"r","ip_address":"10.0.0.1","internal_port_range":[1,2]{rest}}}"#
    );
    LocalConfig::parse(text.as_bytes(), "text").unwrap()
}

#[test]
fn what_is_built_missing_or_empty_is_not_told() {
    assert_eq!(unsupported(&config("")), []);
    assert_eq!(unsupported(&config(r#","grants":"","discovery_source":null,"active_contracts":[]"#)), []);
    let all = r#","grants":"invocation","discovery_source":"registration","entry_type":"virtual_ip","active_contracts":["base","own"]"#;
    assert_eq!(unsupported(&config(all)), []);
}

#[test]
fn what_is_not_built_is_told_with_its_field() {
    let found =
        unsupported(&config(r#","grants":"pigeon","entry_type":"anycast","active_contracts":["base","rollout"]"#));
    let told: Vec<(&str, &str)> = found.iter().map(|found| (found.field, found.asked.as_str())).collect();
    assert_eq!(told, [("active_contracts", "rollout"), ("grants", "pigeon"), ("entry_type", "anycast")]);
    assert!(found[0].to_string().contains("active_contracts asks for \"rollout\", which this version doesn't do"));
}

//! What this version of the programs can do of what the settings ask for. What it can't is told, and never left out in
//! silence.

use super::local::LocalConfig;
use derive_more::Display;

/// Contracts of the users' pages that are built.
const CONTRACTS: [&str; 11] =
    ["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "places", "coord", "own"];
/// Ways in which endpoints are told which keys they hold.
const GRANTS: [&str; 2] = ["heartbeat", "invocation"];
/// Where it is known from which endpoints there are.
const DISCOVERY_SOURCES: [&str; 2] = ["static", "registration"];
/// How clients arrive.
const ENTRY_TYPES: [&str; 2] = ["static", "virtual_ip"];

/// Something that the settings ask for and this version can't do.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("settings field {field} asks for {asked:?}, which this version doesn't do: {consequence}")]
pub struct Unsupported {
    /// The field.
    pub field: &'static str,
    /// What stands there.
    pub asked: String,
    /// What follows from it.
    pub consequence: &'static str,
}

/// All that the settings ask for in vain. A field that is missing or empty asks for nothing.
pub fn unsupported(config: &LocalConfig) -> Vec<Unsupported> {
    let mut found = Vec::new();
    let is_built = |contract: &str| CONTRACTS.contains(&contract);
    for contract in config.contracts.iter().filter(|contract| !is_built(contract)) {
        let consequence = match contract.as_str() {
            "rollout" => "calls to /v1/rollouts are answered 404",
            _ => "nothing is done for it",
        };
        found.push(Unsupported { field: "active_contracts", asked: contract.clone(), consequence });
    }
    let mut named = |field, asked: &Option<String>, built: &[&str], consequence| {
        if let Some(asked) = asked.as_ref().filter(|asked| !built.contains(&asked.as_str())) {
            found.push(Unsupported { field, asked: asked.clone(), consequence });
        }
    };
    named("grants", &config.grants, &GRANTS, "each service's own configuration says how its endpoints are told");
    named("discovery_source", &config.discovery_source, &DISCOVERY_SOURCES, "endpoints are known by their heartbeats");
    named("entry_type", &config.entry_type, &ENTRY_TYPES, "clients are taken at the listen addresses");
    found
}

#[cfg(test)]
#[path = "support_tests.rs"]
mod tests;

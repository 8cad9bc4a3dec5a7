//! What this node is: beside one endpoint, or a gateway.

use lineside::gossip::Role;
use trackbed::config::{ConfigError, LocalConfig};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Requests begin at the endpoint's own machine, and reach the endpoint through this node.
    Beside,
    /// Requests come from outside. No endpoint is beside this node; some are at home here.
    Gateway,
}

impl Mode {
    /// The mode that a role's settings ask for. Invariant: everything that the mode needs is there.
    pub fn of(config: &LocalConfig) -> Result<Self, ConfigError> {
        let wrong = |wanted| ConfigError::Wrong { field: "serves".into(), wanted };
        let mode = match (config.serves("sidecar"), config.serves("edge")) {
            (true, true) => return Err(wrong("either \"sidecar\" or \"edge\", as one node can't be both")),
            (true, false) => Self::Beside,
            (false, true) => Self::Gateway,
            (false, false) => {
                let wanted = "a list with \"sidecar\" for a node beside an endpoint, or \"edge\" for a gateway";
                return Err(match config.serves.is_empty() {
                    true => ConfigError::Missing { field: "serves".into(), wanted },
                    false => wrong(wanted),
                });
            }
        };
        let listen = &config.listen;
        let require = |field: &str, address, wanted| LocalConfig::require(field, address, wanted).map(|_| ());
        require("listen_addresses.readiness", listen.readiness, "an address for the platform's probes")?;
        match mode {
            Self::Beside => {
                require("listen_addresses.outbound", listen.outbound, "an address to take requests at")?;
                require("listen_addresses.inbound", listen.inbound, "an address for peer nodes")?;
                require("listen_addresses.control_plane", listen.control_plane, "an address for the endpoint's beats")?;
            }
            Self::Gateway => {
                require("listen_addresses.frontend", listen.frontend, "an address to take requests at")?;
            }
        }
        Ok(mode)
    }

    pub fn role(self) -> Role {
        match self {
            Self::Beside => Role::Beside,
            Self::Gateway => Role::Gate,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    fn config(serves: &str, listen: &str, ports: &str) -> LocalConfig {
        let text = format!(
            r#"{{"node_name":"n1","zone":"z","region":"r","ip_address":"10.0.0.1","internal_port_range":{ports},
            "serves":{serves},"listen_addresses":{{"readiness":"10.0.0.1:1"{listen}}}}}"#
        );
        LocalConfig::parse(text.as_bytes(), "file").unwrap()
    }

    #[test]
    fn the_settings_say_which_mode_and_name_what_is_missing() {
        let gateway = config(r#"["edge"]"#, r#","frontend":"10.0.0.1:2""#, "[7,8]");
        assert_matches!(Mode::of(&gateway), Ok(Mode::Gateway));
        let none = config(r#"["edge"]"#, "", "[7,8]");
        assert_matches!(Mode::of(&none), Err(ConfigError::Missing { field, .. }) if field == "listen_addresses.frontend");
        let both = config(r#"["edge","sidecar"]"#, r#","frontend":"10.0.0.1:2""#, "[7,8]");
        assert_matches!(Mode::of(&both), Err(ConfigError::Wrong { field, .. }) if field == "serves");
        let nothing = config("[]", "", "[7,8]");
        assert_matches!(Mode::of(&nothing), Err(ConfigError::Missing { field, .. }) if field == "serves");
        let beside = config(r#"["sidecar"]"#, r#","inbound":"10.0.0.1:2","outbound":"10.0.0.1:3""#, "[7,8]");
        let error = Mode::of(&beside).unwrap_err();
        assert!(error.to_string().contains("listen_addresses.control_plane") && error.to_string().contains("add it"));
    }
}

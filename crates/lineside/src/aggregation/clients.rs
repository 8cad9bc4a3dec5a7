//! Who a client is.

/// What names that are too long, and requests of nobody known, are counted as.
pub const OTHER: &str = "other";

/// Longest part of a name that comes from a request.
const LONGEST: usize = 64;

/// A client's name: the tenant where there is one, and within it what the configured header says; else the peer's
/// address at a gateway, or the service whose machine the request began on. Names are data: whoever shows them escapes
/// them.
pub fn client_name(tenant: Option<&str>, header: Option<&str>, address: Option<&str>, service: Option<&str>) -> String {
    let fits = |text: &&str| !text.is_empty() && text.len() <= LONGEST;
    let within = header.map(|header| if fits(&header) { header } else { OTHER });
    match (tenant, within, address, service) {
        (Some(tenant), Some(within), _, _) => format!("tenant:{tenant}/{within}"),
        (Some(tenant), None, _, _) => format!("tenant:{tenant}"),
        (None, Some(within), _, _) => format!("header:{within}"),
        (None, None, Some(address), _) => format!("address:{}", Some(address).filter(fits).unwrap_or(OTHER)),
        (None, None, None, Some(service)) => format!("service:{}", Some(service).filter(fits).unwrap_or(OTHER)),
        (None, None, None, None) => OTHER.to_owned(),
    }
}

//! Collections whose copies share their structure: a copy costs nothing, and a change of one entry costs
//! O(log n) whoever else holds the collection. On the wire and on disk they look like the standard ones.

mod map;
mod recent;
#[cfg(test)]
mod tests;

pub use map::SharedMap;
pub use recent::RecentKeys;

//! The control plane on virtual time: the members' real state machines over a simulated network and
//! simulated disks, with operators and applications whose histories are checked.
//!
//! `docs/design/simulation.md` says what is simulated and how one run is repeated.

mod checks;
mod clients;
mod histories;
mod random_runs;
mod random_voters;
mod scenarios;
mod voter_scenarios;
mod voters;
mod world;

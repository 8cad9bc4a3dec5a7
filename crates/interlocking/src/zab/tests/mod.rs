//! Tests of the protocol on virtual time.

mod properties;
mod sessions;
mod transfers;
mod world;

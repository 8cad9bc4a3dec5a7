//! A seeded fuzzer over every parser of the programs: no input may end a process, take more stack than a thread has,
//! or more memory than a small multiple of its length.

#![warn(missing_docs)]

pub mod json_text;
pub mod memory;
pub mod mutation;
pub mod run;
pub mod targets;

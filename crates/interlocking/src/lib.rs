//! Zab: the order of every change in the control plane, as a pure state machine with its storage.

#![warn(missing_docs)]

pub mod storage;
pub mod zab;

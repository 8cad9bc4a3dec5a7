//! Zab: the order of every change in the control plane, as a pure state machine with its storage.

pub mod storage;
pub mod zab;

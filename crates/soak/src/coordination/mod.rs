//! A soak of locks: core nodes as real processes, troubled all at once and one after the other, under callers that
//! take, renew, lose and give back locks as applications do. What the callers counted as theirs is then checked.

pub mod caller;
pub mod history;
pub mod report;
pub mod run;
pub mod trouble;

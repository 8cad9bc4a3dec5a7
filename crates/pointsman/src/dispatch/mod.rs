//! A request's way: a plan is made, as data, and then carried out.

mod balance;
mod binding;
mod budget;
mod candidates;
mod carry;
mod direct;
mod errand;
mod headers;
#[cfg(test)]
mod key_tests;
#[cfg(test)]
mod long_tests;
mod plan;
mod pool;
mod remote;
#[cfg(test)]
mod remote_tests;
#[cfg(test)]
mod tests;

pub use balance::{Balance, Candidate};
pub use binding::Binding;
pub use budget::{BudgetBounds, Budgets};
pub use carry::carry_out;
pub use carry::come_back;
pub use errand::{Errand, GoResult, Outcome, Passed, gone, stale};
pub use headers::{
    ATTEMPT, CALLER, DEADLINE, EXPECTED, LINE_HEADERS, NOT_EXECUTED, PLANNED, STAMP, read_errand, write_outcome,
};
pub use plan::{Plan, Unplanned};
pub use pool::Pool;

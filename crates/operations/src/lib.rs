//! Day-to-day service, without I/O: the clock is an argument, and what is to be done comes out as data.
//! `docs/design/operations.md` numbers the invariants.
pub mod classes;
pub mod cordon;
pub mod handover;
pub mod tally;

pub use classes::Book;
pub use cordon::Cordon;
pub use tally::{End, Tally};

//! The capacity page: `docs/CAPACITY.md` is prose with tables between markers, and the tables are worked out here from
//! the measured series (`docs/capacity/slopes.json`) and the operators' figures (`docs/capacity/target.json`).
pub mod bad_days;
pub mod division;
pub mod error;
pub mod figure;
pub mod fit;
pub mod messages;
pub mod page;
pub mod ranking;
pub mod series;
pub mod slopes;
pub mod state;
pub mod tables;
pub mod target;

//! Membership in tiers (`docs/design/membership-tiers.md`), played in virtual time in small fleets.
mod fleet_simulation;
mod histories;
mod loss;
mod scale;

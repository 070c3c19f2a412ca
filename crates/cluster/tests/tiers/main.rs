//! Tests of tiered membership (`docs/design/membership-tiers.md`) in small fleets that run in virtual time.
mod fleet_simulation;
mod histories;
mod loss;
mod scale;

//! Property tests that check the invariants H1 to H8 of `docs/design/hierarchy.md` on random sequences of operations.
mod change_log;
mod loop_detection;
mod migration;
mod origin_admission;
mod support;
mod topology;

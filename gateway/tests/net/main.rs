//! Scenarios against the program itself, with stand-ins on loopback for all that it talks to.
mod command;
mod copies;
mod ensemble;
mod events;
mod fleet;
mod hierarchy;
mod membership;
mod operations;
mod platform;
mod rare;
mod relay;
mod scenario;
mod signed;
mod spread;

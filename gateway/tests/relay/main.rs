//! `larchway relay` as a process of its own, between a scripted source and subscribers on loopback.
mod operator;
mod streams;
mod support;
mod tree;

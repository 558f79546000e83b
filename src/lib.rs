#![doc = include_str!("../README.md")]

pub mod api;
pub mod brain;
mod state;

pub use brain::Balancer;

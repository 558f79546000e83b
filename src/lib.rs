#![doc = include_str!("../README.md")]

pub mod api;
pub mod brain;
pub mod settings;
mod state;

pub use brain::Balancer;

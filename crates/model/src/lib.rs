//! The laboratory: a model of the whole system in simulated time, with the real decision module in the loop, and what
//! experiments over it need. The same day, policy and seed give the same outcome on any number of threads.

pub mod clients;
pub mod day;
pub mod engine;
pub mod experiment;
pub mod judge;
pub mod outcome;
pub mod policy;
pub mod report;
pub mod server;
pub mod stats;
pub mod streams;
pub mod world;

//! What several tests of the program share.

#![allow(dead_code)]

pub mod node_process;

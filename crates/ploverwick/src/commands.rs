//! The implementations of the commands, one module per command.

pub(crate) mod demo;
pub(crate) mod history;
pub(crate) mod publish;
pub(crate) mod serve;
pub(crate) mod settings;
pub(crate) mod show;
pub(crate) mod status;
pub(crate) mod table;
pub(crate) mod timeline;

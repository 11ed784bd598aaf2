//! What operators do: read the streams of the log and append to them.
//!
//! The command line talks to the platform's log and to the routers'
//! operator addresses. It needs no router to publish a change.

mod board;
mod client;
mod explain;
mod report;

pub use self::{
    board::{BoardView, run_board},
    client::{CtlClient, CtlFault, MoveRequest, PublishedChange},
    explain::{RequestStory, StoryLine},
    report::{BudgetRow, RouterRow},
};

//! Query results as tables.

mod cell_value;
mod result_table;
mod state_table;

pub use cell_value::CellValue;
pub use result_table::ResultTable;
pub use state_table::state_table;

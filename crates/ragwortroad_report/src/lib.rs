//! Self-contained HTML and SVG pages from measurement files.

"""The operators' door: calls of one line, the figures, stock nodes taken out of use by hand."""

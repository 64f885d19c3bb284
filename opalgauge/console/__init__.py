"""The admin endpoint: operators' commands of one line, the figures, stock nodes taken out of use by hand."""

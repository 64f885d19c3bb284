"""Process lifecycle: configuration, clock, logging, start, reload, drain and exit."""

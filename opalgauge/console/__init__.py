"""The admin endpoint: one-line commands of operators, statistics, and bans of servers."""

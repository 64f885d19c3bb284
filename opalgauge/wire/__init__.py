"""Network I/O: clients, servers, server discovery, the quota counter and the peers of the fleet."""

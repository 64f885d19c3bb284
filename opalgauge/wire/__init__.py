"""What is spoken on sockets: clients, stock nodes, the node list and the quota counter."""
